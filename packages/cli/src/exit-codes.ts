/** What the program's exit status tells, as `docs/operations/command-line.md` lists it. */
export const exitCodes = {
	ok: 0,
	/** `diff` found differences. */
	different: 1,
	usage: 2,
	notFound: 3,
	conflict: 4,
	invalid: 5,
	forbidden: 6,
	/** Nothing was changed: no entry host could take the request. */
	unavailable: 7,
	/** The answer was lost: the change may have been accepted. */
	unknown: 8,
	/** Accepted, but not in force everywhere within the time to wait. */
	waitTimeout: 9,
	failed: 10,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
