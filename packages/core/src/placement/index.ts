/**
 * Placement of jobs on minions: choosing a minion, learning the resource use of jobs, and ejecting failing workers.
 */
export type * from './types.js';
export {chooseMinion} from './choose-minion.js';
export {
	addSample, emptySketch, getQuantile, type QuantileSketch,
} from './run-profile.js';
export {
	canTakeJob,
	healthyWorker,
	recordWorkerFailure,
	recordWorkerSuccess,
	startDueProbe,
	type WorkerHealth,
	type WorkerHealthCfg,
} from './worker-health.js';
