/** How long a minion counts as ready after it was last heard from. */
export const minionLeaseMs = 3000;
/** How often renewals are forwarded to the other entry hosts of the data centre, batched in one message. */
export const minionRenewalPeriodMs = 300;
/** How long a silent minion stays in the directory. */
export const minionForgetAfterMs = 600_000;
