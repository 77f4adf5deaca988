/**
 * Choosing a minion, learning what jobs take, and taking out workers that fail.
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
