/**
 * The scheduler: a ledger of jobs, steps and tasks that is replicated to every control host, and the
 * planning functions of the leader.
 */
export type * from './types.js';
export {applyLedgerCommand} from './apply-ledger-command.js';
export {
	freshRunMs, leaseMarginMs, maximumGangTasks, maximumLostRuns, minimumClockRate, sharedLossMs,
} from './constants.js';
export {
	createIncarnationId, createTaskId, isIncarnationOf, parseTaskId, type TaskIdParts,
} from './ids.js';
export {
	countPendingJobs, countStepRuns, createLedger, findQueue, findTask, getPublicJobState, getStep, getStepProgress, isJobId, isLateRunEnd, listTasks,
	type QueueMatch, type PublicJobState,
} from './ledger.js';
export {fitsInto, isSameAmount} from './resources.js';
export {createLedgerSnapshot, listReleasedJobs, restoreLedger} from './snapshot.js';
export {
	getInheritedLeaseMs, getLeaseDeadline, isLeaseOver, type ClockReading,
} from './minion-clock.js';
export {
	getRunLimit, recordRunDone, recordRunFailed, initialMinionHealth, type MinionHealth, type RunFailure,
} from './minion-health.js';
export {
	admitJob, type Admission, type PoolLoad, type AdmissionRefusalReason,
} from './admit-job.js';
export {
	isSuspectedSlow, assessRun, isAssessable, recordSlowness, predictTotalMs, initialMinionSpeed, type MinionSpeed, type RunVerdict,
} from './assess-runs.js';
export {createRunKey} from './uncertain-starts.js';
export {findLatestStartUnderWay, findStartUnderWay, listStartsUnderWayTo} from './starts-under-way.js';
export {isCancelledEarly} from './early-cancels.js';
export {createJobCaller, getQueuePlace, mayAccessJob} from './job-callers.js';
export {getClearanceMs, isCrashSuspect, isSuddenLoss} from './crash-suspicion.js';
export type {
	IsAllowed, PlacementGate, RunningSuspect, UsableMinion,
} from './minion-capacity.js';
export {findStartLimit, isBlockedByUnassigned} from './run-limits.js';
export {planStarts, type StartPlanInput} from './plan-starts.js';
export {countRefusals, type PlacementRefusals, type RefusalQuery} from './explain-waiting.js';
export {compareReadySteps, type CompareReadySteps, type ReadyStep} from './order-work.js';
export {getFillerPacePercent, type TailLatency} from './pace-fillers.js';
export {
	isBackFromMaintenance, isWaveCompleted, planMaintenance, type MaintenancePlan, type BlockedWorker, type MaintenancePlanInput, type MaintenanceTimes, type MaintenanceRequest, type WorkerView,
} from './plan-maintenance.js';
export {measurePoolWorkload, measureWorkAhead, type QueuePosition} from './measure-pools.js';
export {getPoolIndex, emptyWorkload, type PoolIndex} from './work-index.js';
export {plainStep} from './plain-step.js';
export {getLongestChainMs, getObjectiveMs, getOccurrenceWork} from './estimates.js';
