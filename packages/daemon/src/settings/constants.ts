/** The format version of the settings files that this release reads. */
export const settingsApiVersion = 'samphiremill/settings/v1';

/** The shortest accepted cluster secret, in characters. */
export const minimumClusterSecretLength = 32;

/** Allowed numbers of voters of a replicated log. One voter is for a single host without redundancy. */
export const allowedVoterCounts: readonly number[] = [1, 3, 5, 7];

export const highestPort = 65_535;

/** Defaults of the limits. */
export const defaultLimits = {
	maximumBodyBytes: 1_048_576,
	bodyBudgetBytes: 16_777_216,
	maximumConnections: 4096,
} as const;
