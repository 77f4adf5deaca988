export const defaultEndpoint = 'http://127.0.0.1:7400';
export const defaultTimeoutSeconds = 30;
export const defaultWaitSeconds = 60;

/** Timeout of one request to one endpoint. */
export const requestTimeoutMs = 5000;

/** Pause after every endpoint has failed once. It doubles after each further round, up to the maximum. */
export const firstRetryDelayMs = 200;
export const maximumRetryDelayMs = 2000;

/** Interval between two polls of `--wait`. */
export const pollPeriodMs = 500;
/** Interval between two polls of `--watch`. */
export const watchPeriodMs = 2000;

export const millisecondsPerSecond = 1000;
