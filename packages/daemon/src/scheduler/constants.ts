/** How long a host waits for one control host to answer before it tries another. */
export const callAttemptTimeoutMs = 1200;

/** The same for a control host without a link, whose answer takes a handshake longer. A host that is gone does not answer at all. */
export const unlinkedAttemptTimeoutMs = 300;

/** How often an entry host asks the leader for the limits on callers' requests. */
export const limitsPollPeriodMs = 1000;

/** An entry host that has had no answer from a leader for this long refuses callers at once. */
export const leaderContactTimeoutMs = 2500;

/** How often a control host checks whether a leader acts. While none does, each check is logged. */
export const leadershipCheckPeriodMs = 1000;

/** Writes and commits that wait for this long stand in the way of a leader. */
export const leadershipStallMs = 1000;

/** A leader that a control host has not heard from for this long counts as lost there; longer than an election timeout. */
export const leaderSilenceMs = 1200;

/** Delay between two attempts of a call to the control hosts. */
export const callRetryDelayMs = 100;

/** Maximum length of a lease on a minion; outlasts a change of leader. */
export const maximumLeaseMs = 3200;

/** Largest part of the longest lease of the platform that a lease uses. */
export const platformLeaseFraction = 0.6;

/** How long a hold call waits for a run to end (long poll). */
export const holdWaitMs = 700;

/** How long a hold call waits while a long-running task on the minion is not serving yet. */
export const warmUpHoldWaitMs = 300;

/** Time that a hold call may take in addition to its wait. */
export const holdTimeoutMarginMs = 400;

/** Timeout of a start, stop or pace call. */
export const orderTimeoutMs = 450;

/** Delay before an unanswered start or stop call is repeated. */
export const orderRetryDelayMs = 100;

/** How long each hold call waits for the answers to starts that are on their way. */
export const startAnswerWaitMs = 100;

/** How long a start call without an answer may still be carried out. */
export const unansweredStartWindowMs = 30_000;

/** How long after it was sent a start, or another order, without an answer may reach its minion, in any incarnation. */
export const startArrivalMs = 13_000;

/** How long after such a start the next run of its task is held for that minion if the minion answers. */
export const answeredStartHoldbackMs = 5000;

/**
 * The same for a long-running task if nothing shows that its minion was still there after the start; below the 7 s within which a waiting
 * long-running task must be started. In any other case the next run waits until the start must have arrived.
 */
export const silentStartHoldbackMs = 5000;

/** How often the log is told which starts must have arrived. */
export const arrivedStartsPeriodMs = 1000;

/** Most starts that one command records or forgets, so that it fits into an entry of the log. */
export const maximumStartsPerCommand = 1024;

/** Delay after a hold call that could not be sent. */
export const holdRetryDelayMs = 250;

/**
 * The same for a minion without runs at whose address no process has listened for a few calls. It is called sooner once it
 * reports.
 */
export const refusedHoldRetryDelayMs = 2000;
export const refusedHoldsBeforeBackoff = 2;

/** How long a control host that does not lead collects the reports of minions before it tells the leader of them. */
export const reportBundlePeriodMs = 200;

/**
 * Highest reading of a minion's clock, which counts from the minion's start: 100 years. A lease granted on a higher one
 * would never be over.
 */
export const longestMinionClockMs = 100 * 366 * 24 * 3_600_000;

/**
 * How long a leader may take to confirm that it leads, after a minion answered that it follows a newer one, and how often a
 * minion that goes on saying so makes it confirm again.
 */
export const fenceCheckTimeoutMs = 1000;
export const fenceCheckPeriodMs = 1000;

/** How long minions follow a newer leader before they are counted against those that follow this one; all have been called by then. */
export const fenceSettleMs = 2000;

/** How often the leader checks for work that becomes due with time alone. */
export const leaderTickPeriodMs = 100;

/**
 * The largest part of the leader's time that plans of worker moves may take, and that maintenance may; and the longest pause that
 * follows from it, short beside the time of a move.
 */
export const maximumMovesShare = 0.04;
export const maximumMaintenanceShare = 0.04;
export const longestDutyPauseMs = 400;

/** How often the pace of filler tasks is set. */
export const fillerPacePeriodMs = 500;

/** No other task is started on a minion for this long after the start of a task that may crash it. */
export const newSuspectMs = 100;

/** Added to the time within which two losses count as one, between the starts of suspects that are started one at a time. */
export const suspectSpacingMarginMs = 100;

/** Minimum time between two plans. */
export const planIntervalMs = 8;

/**
 * Least time between the beginnings of two commits. Each costs the leader a message to every other control host and an
 * answer, so what is decided within this time goes together; what follows a quiet time does not wait.
 */
export const commitSpacingMs = 20;

/** How often a control host announces itself until the ledger lists it, and how often after that. */
export const joinRetryPeriodMs = 500;
export const joinRefreshPeriodMs = 3000;

/** Delay before a leader proposes the start of its term again. */
export const termBeginRetryDelayMs = 100;

/** How often the leader checks the set of voters. */
export const voterCheckPeriodMs = 250;

/**
 * How long a voter may be unreachable, or sync nothing, before a host that is there replaces it. Longer than a change of
 * leader and a restart usually take, and short enough that 4 s after a host was replaced the next loss is borne. A
 * voter that returns later takes part as a spare host.
 */
export const voterAbsenceTimeoutMs = 2500;

/** How long a host that was too slow as a learner is not proposed as a voter again, so that others have their turn. */
export const failedVoterRetryDelayMs = 2000;

/** Difference between the monotonic and the wall clock that shows that the process was suspended or that the time of day jumped. */
export const clockJumpThresholdMs = 150;

/** A minion that has neither reported nor answered for this long is removed once no runs are assigned to it. */
export const minionAbsenceTimeoutMs = 12_000;

/** The same for a minion that start calls of lapsed runs may still reach. */
export const lapsedStartAbsenceTimeoutMs = 30_000;

/** How long the leader waits for the runs of a leaving minion to stop, and how often it checks them. The leave call itself times out after a second. */
export const departureTimeoutMs = 800;
export const departurePollPeriodMs = 20;

/** The same for a minion that listens no more, after its leave is confirmed; longer than an inherited lease of the longest kind lasts. */
export const lapsingDepartureTimeoutMs = 15_000;

/**
 * How far the start of a minion may lie in the future of this host's clock. The clocks of hosts differ and jump by
 * seconds; minutes leave room for that, while a start beyond them is not a time that any clock of the fleet shows.
 */
export const maximumStartAheadMs = 600_000;

/** How long reports of an ended incarnation of a minion may still arrive. */
export const endedIncarnationRetentionMs = 60_000;

/** Maximum number of minions in one request for advice. */
export const maximumAdvisedMinions = 30;

/** A ticket is no longer used from this long before its expiry. */
export const ticketExpiryMarginMs = 500;

/** Delay before advice on a step is requested again after a failed request. */
export const adviceRetryDelayMs = 300;

/** Delay before advice on more minions is requested for a step that has an allowed minion, or on a minion that rejected its ticket. */
export const additionalAdviceDelayMs = 1000;

/** Time that an advice call may take in addition to the announced decision times of it and the calls before it. */
export const adviceTimeoutMarginMs = 1500;

/** Longest timeout of an advice call to a service that takes longer than announced. */
export const longestAdviceTimeoutMs = 20_000;

/** How many advice calls are under way at most: one that the service works on, and one that waits there, so that the service is not idle between two. */
export const maximumAdviceCalls = 2;

/** Longest pause before the next advice call after failed ones. */
export const longestAdviceRetryDelayMs = 600;

/** Delay before an order for a worker is repeated while the platform has not carried it out. */
export const workerOrderRetryDelayMs = 700;

/** How long after its start a leader sends its first move or maintenance order, so that it knows by then which minions answer. */
export const firstWorkerOrderDelayMs = 800;

/** Added to the time for which a worker gets no orders after an order of another leader. */
export const orderTurnMarginMs = 300;

/**
 * How long a long-running task waits for a cordoned worker until the worker takes tasks again: below the 6 s within which a
 * waiting task must be started, and long enough for most drains to end.
 */
export const cordonReleaseDelayMs = 4000;

/** How often the cordoned workers are checked for tasks that wait for them. */
export const cordonReleaseCheckMs = 500;

/** How long a worker whose cordon was released is not cordoned again. Other workers may join its pool in this time. */
export const releasedCordonMs = 10_000;

/** How often the platform's list of workers is read. */
export const workerListPeriodMs = 4000;

/** Delay between choosing a worker to move and ordering the move, for assignments that are still on their way into the log. */
export const moveSettleDelayMs = 60;

/** How long the platform may leave a move undone before it is given up for long-running tasks that wait in the worker's pool. */
export const moveGiveUpDelayMs = 1000;

/** A moved worker that has not reported from its new pool after this time counts as lost. */
export const moveArrivalTimeoutMs = 6000;

/** How often the ledger is searched for ended jobs to forget. */
export const jobCleanupPeriodMs = 10_000;

/** Most ended jobs that one command forgets, so that it fits into an entry of the log. The others follow a period later. */
export const maximumForgottenJobs = 10_000;

/** Delay before a worker is considered for a move again after the platform refused to move it. */
export const refusedMoveDelayMs = 1000;

/**
 * How long the highest demand on a pool is remembered; longer than the time between two bursts of a
 * queue. For the same time, a new leader expects a burst in every pool.
 */
export const peakDemandRetentionMs = 45_000;

/** Up to this many minions, the leader keeps all connections to them itself. */
export const maximumDirectMinions = 50;

/** How often the leader checks which control hosts can relay calls to minions. */
export const relayCheckPeriodMs = 250;

/** Time that a relayed call may take in addition to the minion's timeout. */
export const relayTimeoutMarginMs = 50;

/**
 * How long a relay may keep the answer to a call to a minion, to send it together with others. It delays what waits for an end
 * by less than a commit; each read costs the leader as much as several answers in one.
 */
export const relayAnswerDelayMs = 10;

/** How long a relay is not used for a minion that it did not reach. */
export const relayBackoffMs = 5000;

/** Period over which the times of the leader's duties are added up. */
export const dutyTimesPeriodMs = 1000;

/** The process counts as busy when it is active for more than this part of the period. */
export const busyThreshold = 0.6;

/** How often the state of the pools is logged, and how many pools at most. */
export const poolReportPeriodMs = 1000;
export const maximumReportedPools = 32;

/** How long single arrivals of jobs are kept to measure the inflow. */
export const arrivalRetentionMs = 6000;

/** The failure of a long-running task that served for this long tells nothing about its minion. */
export const provenServiceMs = 3000;

/** A long-running task that has waited for this long is reported once a second, and how many such tasks at most. */
export const reportedWaitMs = 1000;
export const maximumReportedWaits = 8;

/** How long a listed run that is not assigned counts on its minion, in milliseconds. A stop takes less, and a row that stays listed is false. */
export const unassignedRunCountMs = 5000;

/** Of how many replaced incarnations the command that adds the next one describes the loss. There is one, or a few after a mix-up of addresses. */
export const maximumReplacedLosses = 8;

/** When a caller may try again whose job found no memory at its commit. Ended jobs are forgotten once in this time. */
export const storeFullRetryMs = 10_000;
