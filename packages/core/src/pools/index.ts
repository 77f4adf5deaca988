/**
 * Decisions on pools: the demand on them, and how many workers they need.
 */
export {
	getInflow, getInflowLowerBound, inflowWindowMs, type Arrival,
} from './inflow.js';
export {getExpectedInflow, type ActiveBurst} from './expected-inflow.js';
