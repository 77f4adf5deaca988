/** The outcome of an operation that can fail: a value, or a typed error. */
export type Result<Value, Err>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly err: Err};

/**
 * @param value - The value of the successful operation.
 * @returns A successful result.
 */
export function createSuccess<Value>(value: Value): Result<Value, never> {
	return {ok: true, value};
}

/**
 * @param err - The typed error.
 * @returns A failed result.
 */
export function createFailure<Err>(err: Err): Result<never, Err> {
	return {ok: false, err};
}
