import {getEntries, getLastIndex} from './log.js';
import {createStep, type ReplicaStep} from './replica-step.js';
import type {ReplicaState} from './types.js';

/**
 * Commits and applies all entries up to an index. The rest of the reducer settles what waited for it.
 *
 * @param state - The state.
 * @param index - The index known to be committed; it may lie beyond the end of the log.
 * @returns The state with the entries to apply, in order and once each.
 */
export function commitUpTo<Command>(state: ReplicaState<Command>, index: number): ReplicaStep<Command> {
	const commitIndex = Math.min(index, getLastIndex(state.log));
	if (commitIndex <= state.commitIndex) {
		return createStep(state);
	}

	const entries = getEntries(state.log, {from: state.commitIndex + 1, until: commitIndex + 1});
	return createStep({...state, commitIndex}, [{type: 'replica/apply', entries}]);
}
