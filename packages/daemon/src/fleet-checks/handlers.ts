import type {FleetView} from './fleet-view.js';
import type {CheckLimits, FleetCheckOptions, Observation} from './types.js';

/** Some kinds of observations. The mapped form lets the compiler match an observation with its handler. */
export type ObservationOf<Type extends Observation['type']> = {
	[Key in Type]: {readonly type: Key} & Extract<Observation, {readonly type: Key}>;
}[Type];

/** The functions that take some kinds of observations. */
export type Handlers<Type extends Observation['type']> = {
	readonly [Key in Type]: (observation: ObservationOf<Key>) => void;
};

/** What the functions work on. */
export type CheckContext = Omit<FleetCheckOptions, 'limits'> & {
	readonly view: FleetView;
	readonly limits: CheckLimits;
};

/**
 * Hands an observation to its handler.
 *
 * @param handlers - The handlers of all kinds.
 * @param observation - The observation.
 */
export function dispatchObservation<Type extends Observation['type']>(handlers: Handlers<Type>, observation: ObservationOf<Type>): void {
	handlers[observation.type](observation);
}
