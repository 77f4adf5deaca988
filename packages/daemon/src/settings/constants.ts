/** The format of the settings file that this version reads. */
export const settingsApiVersion = 'samphiremill/settings/v1';

/** The shortest accepted cluster secret, in characters. */
export const minimumClusterSecretLength = 32;

/** How many voters a replicated log may have. One is for a single host without a spare. */
export const allowedVoterCounts: readonly number[] = [1, 3, 5, 7];

export const highestPort = 65_535;

/** What each limit is where the settings name none. */
export const defaultLimits = {
	maximumBodyBytes: 1_048_576,
	bodyBudgetBytes: 16_777_216,
	maximumConnections: 4096,
} as const;
