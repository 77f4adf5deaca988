/** How long a minion counts as ready after it was last heard. */
export const minionLeaseMs = 3000;
/** How often renewals are passed on to the data centre, many in one message. */
export const minionRenewalPeriodMs = 300;
/** How long a silent minion is remembered. */
export const minionForgetAfterMs = 600_000;
