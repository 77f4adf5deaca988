/**
 * A nominal type: a plain value of `Type` is not assignable to it. Only functions that create this
 * brand may produce one.
 */
export type Brand<Type, Name extends string> = Type & {readonly __brand: Name};
