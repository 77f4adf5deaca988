/**
 * Closes a switch over a tagged union: the compiler reports a missing case.
 *
 * @param value - The value that no case took.
 * @throws TypeError always, since reaching it means that foreign data entered the program.
 */
export function assertNever(value: never): never {
	throw new TypeError(`Unexpected value: ${JSON.stringify(value)}`);
}
