/**
 * The scheduler: jobs of steps and tasks, kept in a ledger that every control host applies alike, and
 * the decisions of the host that leads.
 */
export type * from './types.js';
export {applyLedgerCommand} from './apply-ledger-command.js';
export {
	createLifeId, createTaskId, parseTaskId, type TaskIdParts,
} from './ids.js';
export {
	countPendingJobs, createLedger, findQueue, findTask, getShownState, getStep, getStepProgress, isJobId, isLateEnd, listTasks,
	type FoundQueue, type ShownJobState,
} from './ledger.js';
export {createLedgerSnapshot, listForgettableJobs, restoreLedger} from './snapshot.js';
export {
	getInheritedLeaseMs, getLeaseDeadline, isLeaseOver, type ClockReading,
} from './minion-clock.js';
export {
	getRunBound, noteRunDone, noteRunFailed, unknownHealth, type MinionHealth,
} from './minion-health.js';
export {
	admitJob, type Admission, type PoolLoad, type AdmissionRefusalReason,
} from './admit-job.js';
export {
	isSuspectedSlow, judgeRun, notePace, predictTotalMs, unknownPace, type MinionPace, type RunVerdict,
} from './judge-runs.js';
export {planStarts, type StartPlanInput, type UsableMinion} from './plan-starts.js';
export {type CompareReadySteps, type ReadyStep} from './order-work.js';
export {getFillerPace, type TailReading} from './pace-fillers.js';
export {
	isWaveCompleted, planUpkeep, type UpkeepPlan, type UpkeepPlanInput, type UpkeepRequest, type WorkerView,
} from './plan-upkeep.js';
export {
	planWorkerMoves, type MovableWorker, type WorkerMoveInput, type PoolPressure, type WorkerMove,
} from './plan-worker-moves.js';
export {measurePool, measureWorkAhead, type PlaceInQueue} from './measure-pools.js';
export {getPoolWork, idlePool, type PoolWork} from './work-index.js';
export {
	forecastBursts, getReadiness, noBursts, noteInflow, type BurstForecast, type BurstHistory,
} from './forecast-bursts.js';
export {plainStep} from './plain-step.js';
export {getLongestChainMs, getObjectiveMs, getWork} from './estimates.js';
