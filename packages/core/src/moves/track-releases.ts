import type {MovesState, ObservedRelease} from './types.js';

/**
 * Records when the leader first observed each release, and the log index that it had applied then. An entry
 * host that has applied this index has applied the release. So has an entry host that renews its configuration
 * lease after that time. A new leader starts without records and uses its own, later time.
 *
 * @param input - `nowMs` is the time on the leader's monotonic clock.
 * @returns The releases that are in progress.
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
