import type {MovesState, ObservedRelease} from './types.js';

/**
 * Keeps when the leader first saw each release. An entry host that has applied the index of that
 * moment has applied the release; one that renews its configuration lease later has done so too. A
 * new leader starts with none and notes its own, later moment.
 *
 * @param input - What was noted so far, the committed moves, the leader's applied index, and the
 *   time on the leader's monotonic clock in milliseconds.
 * @returns The releases that are under way.
 */
export function trackReleases({releases, moves, appliedIndex, nowMs}: {
	releases: readonly ObservedRelease[];
	moves: MovesState;
	appliedIndex: number;
	nowMs: number;
}): readonly ObservedRelease[] {
	return moves.moves.map(({worker, epoch}) =>
		releases.find(known => known.worker === worker && known.epoch === epoch)
		?? {
			worker, epoch, index: appliedIndex, seenAtMs: nowMs,
		});
}
