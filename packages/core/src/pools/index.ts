/**
 * Decisions on pools: the demand on them, and how many workers they need.
 */
export {
	getInflow, getInflowLowerBound, inflowWindowMs, type Arrival,
} from './inflow.js';
export {getExpectedInflow, getExpectedPeak, type ActiveBurst} from './expected-inflow.js';
export {
	forecastBursts, getBurstConfidence, emptyBurstHistory, recordInflow, type BurstForecast, type BurstHistory,
} from './forecast-bursts.js';
export {
	planWorkerMoves, type MovableWorker, type WorkerMoveInput, type PoolBalance, type WorkerMove,
} from './plan-worker-moves.js';
