/** How long a control host waits for an answer of a peer before it asks another. */
export const callAttemptTimeoutMs = 1200;

/** How often an entry host asks the leader for the limits on callers. */
export const limitsPollPeriodMs = 1000;

/** An entry host that got no answer of a leader for this long refuses callers at once. */
export const leaderContactTimeoutMs = 2500;

/** Pause between two rounds through the control hosts. */
export const callRetryDelayMs = 100;

/** Length of a lease on a minion, at most; long enough to outlast a change of leader. */
export const maximumLeaseMs = 3200;

/** The part of the platform's longest lease that is used, at most. */
export const platformLeaseFraction = 0.6;

/** How long a hold waits for an end. */
export const holdWaitMs = 700;

/** How long a hold waits while a lasting task there does not serve yet. */
export const warmUpHoldWaitMs = 300;

/** What a hold may take beyond its wait. */
export const holdTimeoutMarginMs = 400;

/** How long a start, stop or pace may take. */
export const orderTimeoutMs = 450;

/** Pause before an unanswered order is repeated. */
export const orderRetryDelayMs = 100;

/** For how long a start without an answer may still be carried out. */
export const unansweredStartWindowMs = 30_000;

/** Pause after a hold that could not be sent. */
export const holdRetryDelayMs = 250;

/** How often the leader looks for what time alone brings about. */
export const leaderTickPeriodMs = 100;

/** How often the pace of tasks that fill is set. */
export const fillerPacePeriodMs = 500;

/** The least time between two plans. */
export const planIntervalMs = 8;

/** How often control hosts announce themselves until the ledger names them, and after that. */
export const joinRetryPeriodMs = 500;
export const joinRefreshPeriodMs = 3000;

/** How often the leader looks after the set of voters. */
export const voterCheckPeriodMs = 500;

/** How long a voter may be out of reach before another host takes its place. */
export const voterAbsenceTimeoutMs = 6000;

/** A difference between both clocks that means the process or the time of day stood still or jumped. */
export const clockJumpThresholdMs = 150;

/** A minion that has neither reported nor answered for this long is forgotten once nothing runs on it. */
export const minionAbsenceTimeoutMs = 12_000;

/** The same for one that orders to start runs which were given up may still reach. */
export const lapsedStartAbsenceTimeoutMs = 30_000;

/** How long the runs of a minion that leaves are waited for, and how often they are looked at; its call waits for a second. */
export const departureTimeoutMs = 800;
export const departurePollPeriodMs = 20;

/** For how long reports of a life that has ended may still arrive. */
export const endedIncarnationRetentionMs = 60_000;

/** Minions that one request for advice names, at most. */
export const maximumAdvisedMinions = 30;

/** How long before its end a ticket is no longer used. */
export const ticketExpiryMarginMs = 500;

/** Pause before advice is asked again. */
export const adviceRetryDelayMs = 300;

/** What an advice call may take beyond the announced time. */
export const adviceTimeoutMarginMs = 1500;

/** How often an order for a worker is repeated while the platform does not carry it out. */
export const workerOrderRetryDelayMs = 700;

/** How long after its start a leader orders its first move or upkeep, to see first which minions answer. */
export const firstWorkerOrderDelayMs = 800;

/** What the time is extended by for which a worker is left alone after an order of another leader. */
export const orderTurnMarginMs = 300;

/** How often the platform's list of workers is read. */
export const workerListPeriodMs = 4000;

/** How long a worker that is to be moved is left alone first, for assignments on their way. */
export const moveSettleDelayMs = 60;

/** After this time a moved worker that has not come back counts as lost. */
export const moveArrivalTimeoutMs = 6000;

/** How often finished jobs are looked through for ones to forget. */
export const jobCleanupPeriodMs = 10_000;

/** Pause after the platform refused to move a worker. */
export const refusedMoveDelayMs = 1000;

/**
 * How long the highest demand on a pool is remembered; longer than from one burst of a queue to the
 * next. A new leader expects a burst of every pool for as long.
 */
export const peakDemandRetentionMs = 45_000;

/** Up to this many minions the leader has all connections itself. */
export const maximumDirectMinions = 100;

/** How often the leader looks which control hosts can relay calls to minions. */
export const relayCheckPeriodMs = 250;

/** What a relayed call may take beyond the time that the minion has. */
export const relayTimeoutMarginMs = 50;

/** For how long a minion is called directly after its relay did not reach it. */
export const relayBackoffMs = 5000;

/** Over which time the work of the leader's duties is added up. */
export const dutyTimesPeriodMs = 1000;

/** From this part of the time on the process counts as busy. */
export const busyThreshold = 0.6;
