import type {MovesState, ReleaseIndex} from './types.js';

/**
 * Keeps the leader's log index at which it first saw each release. An entry host that has applied
 * that index has applied the release. A new leader starts with none and notes its own, later index.
 *
 * @param input - What was noted so far, the committed moves, and the leader's applied index.
 * @returns The indexes of the moves that are under way.
 */
export function trackReleases({releaseIndexes, moves, appliedIndex}: {
	releaseIndexes: readonly ReleaseIndex[];
	moves: MovesState;
	appliedIndex: number;
}): readonly ReleaseIndex[] {
	return moves.moves.map(({worker, epoch}) =>
		releaseIndexes.find(known => known.worker === worker && known.epoch === epoch)
		?? {worker, epoch, index: appliedIndex});
}
