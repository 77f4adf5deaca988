export const defaultEndpoint = 'http://127.0.0.1:7400';
export const defaultTimeoutSeconds = 30;
export const defaultWaitSeconds = 60;

/** How long one endpoint may take to answer one request. */
export const requestTimeoutMs = 5000;

/** The pause after every endpoint has failed once; it doubles up to the maximum. */
export const firstRetryDelayMs = 200;
export const maximumRetryDelayMs = 2000;

/** How often a wait asks again. */
export const pollPeriodMs = 500;
export const watchPeriodMs = 2000;

export const millisecondsPerSecond = 1000;
