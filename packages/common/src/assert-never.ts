/**
 * Makes the compiler report a missing case in a switch over a tagged union.
 *
 * @param value - The value that no case handled.
 * @throws TypeError always: a call at run time means that unvalidated data entered the program.
 */
export function assertNever(value: never): never {
	throw new TypeError(`Unexpected value: ${JSON.stringify(value)}`);
}
