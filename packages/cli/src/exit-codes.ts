/** Exit statuses of the program. `docs/operations/command-line.md` lists them. */
export const exitCodes = {
	ok: 0,
	/** `diff` found differences. */
	different: 1,
	usage: 2,
	notFound: 3,
	conflict: 4,
	invalid: 5,
	forbidden: 6,
	/** No entry host could take the request; nothing was changed. */
	unavailable: 7,
	/** The answer was lost; the change may have been accepted. */
	unknown: 8,
	/** The change was accepted, but was not in force on every entry host within the wait timeout. */
	waitTimeout: 9,
	failed: 10,
} as const;

/** An exit status of the program. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
