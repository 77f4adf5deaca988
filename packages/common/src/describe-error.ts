/**
 * @param err - What was thrown.
 * @returns Its stack, or what else it tells, for the log.
 */
export function describeError(err: unknown): string {
	return err instanceof Error ? err.stack ?? err.message : String(err);
}
