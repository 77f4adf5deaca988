import {getEntries, getLastIndex} from './log.js';
import {createStep, type ReplicaStep} from './replica-step.js';
import type {ReplicaState} from './types.js';

/**
 * Commits and applies all entries up to an index, in order and once each. The requests that waited for them are
 * completed later in the same reducer step.
 *
 * @param index - The index known to be committed; it may be beyond the end of the log.
 */
export function commitUpTo<Command>(state: ReplicaState<Command>, index: number): ReplicaStep<Command> {
	const commitIndex = Math.min(index, getLastIndex(state.log));
	if (commitIndex <= state.commitIndex) {
		return createStep(state);
	}

	const entries = getEntries(state.log, {from: state.commitIndex + 1, until: commitIndex + 1});
	return createStep({...state, commitIndex}, [{type: 'replica/apply', entries}]);
}
