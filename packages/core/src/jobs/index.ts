/**
 * Queueing, placement, attempts, retries and outcomes of jobs.
 */
export type * from './types.js';
export type {
	JobsState, JobsStep, JobState, Reservation,
} from './state.js';
export {createJobsState} from './state.js';
export {createDefaultJobsCfg} from './constants.js';
export {createRefusal, getRan, getRanBeforeClaim} from './outcome.js';
export {getShareReport} from './share-report.js';
export {reduceJobs} from './reduce-jobs.js';
