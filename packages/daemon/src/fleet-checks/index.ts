export {createFleetChecks, type FleetChecks} from './fleet-checks.js';
export type {
	CheckLimits, FleetCheckOptions, Observation, Rule,
} from './types.js';
