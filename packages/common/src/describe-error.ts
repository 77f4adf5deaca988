/** Formats a thrown value for the log: the stack or message of an error, any other value as a string. */
export function describeError(err: unknown): string {
	return err instanceof Error ? err.stack ?? err.message : String(err);
}
