/** The outcome of an operation that can fail: a value, or a typed error. */
export type Result<Value, Err>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly err: Err};

export function createSuccess<Value>(value: Value): Result<Value, never> {
	return {ok: true, value};
}

export function createFailure<Err>(err: Err): Result<never, Err> {
	return {ok: false, err};
}
