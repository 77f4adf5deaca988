/**
 * Checks of the scheduler's promises from the outside. They know the fleet from what callers, minions and the platform
 * see, and share no code with what decides.
 */
import type {IncarnationId, TaskId} from '@samphiremill/core';
import {defaultLimits} from './constants.js';
import {createFleetView, findStep} from './fleet-view.js';
import {dispatchObservation, type CheckContext, type Handlers} from './handlers.js';
import {createJobHandlers} from './job-observations.js';
import {createMinionHandlers} from './minion-observations.js';
import {createPlatformHandlers} from './platform-observations.js';
import {findLackingResource} from './start-checks.js';
import {createStopHandlers} from './stop-observations.js';
import type {FleetCheckOptions, Observation} from './types.js';

/** The checks of one fleet. */
export type FleetChecks = {
	/** Takes note of an observation, and reports the promises that it breaks. */
	readonly record: (observation: Observation) => void;
	/** Whether a minion has room for a task. */
	readonly hasRoom: (life: IncarnationId, task: TaskId) => boolean;
};

/**
 * Creates the checks of a fleet of which nothing is known.
 *
 * @param options - The clocks, the time bounds and the function that takes violations.
 * @returns The checks.
 */
export function createFleetChecks({limits, ...surroundings}: FleetCheckOptions): FleetChecks {
	const view = createFleetView();
	const context: CheckContext = {...surroundings, view, limits: {...defaultLimits, ...limits}};
	const handlers: Handlers<Observation['type']> = {
		...createJobHandlers(context),
		...createMinionHandlers(context),
		...createStopHandlers(context),
		...createPlatformHandlers(context),
	};

	return {
		record(observation) {
			dispatchObservation(handlers, observation);
		},
		hasRoom(life, task) {
			const minion = view.minions.get(life);
			const step = findStep(view, task);
			return minion === undefined || step === undefined || findLackingResource(view, {minion, step, nowMs: context.getNow()}) === undefined;
		},
	};
}
