/**
 * A nominal type: a value of `Type` that only a constructor of this brand may produce.
 */
export type Brand<Type, Name extends string> = Type & {readonly __brand: Name};
