import {Map as ImmutableMap, OrderedMap} from 'immutable';
import type {ControlState} from './types.js';

/** Creates the state before the first command. */
export function createControlState(): ControlState {
	return {
		records: ImmutableMap(),
		history: ImmutableMap(),
		deleted: OrderedMap(),
		changes: OrderedMap(),
		keyBySecretHash: ImmutableMap(),
		ownership: ImmutableMap(),
		retiredOwnership: OrderedMap(),
		highestRetiredEpoch: 0,
		views: ImmutableMap(),
	};
}
