import type {MinionId, WorkerId} from '@samphiremill/common';
import type {FleetWorker, KnownMinion} from '../membership/types.js';
import type {MinionsState} from './types.js';

/**
 * @param state - The directory.
 * @returns Every known minion of the data centre, in order of id.
 */
export function listMinions(state: MinionsState): readonly KnownMinion[] {
	return [...state.entries.values()]
		.map(({isLeaving, probe, hasUnsentRenewal: hasNews, leavingAtMs, ...known}) => known)
		.toSorted((left, right) => left.minion < right.minion ? -1 : 1);
}

/**
 * @param state - The directory.
 * @param ref - A minion and its incarnation.
 * @returns Whether the directory knows that incarnation; if not, it has to announce itself again.
 */
export function isKnownMinion(state: MinionsState, {minion, incarnation}: {readonly minion: MinionId; readonly incarnation: number}): boolean {
	return state.entries.get(minion)?.incarnation === incarnation;
}

/**
 * @param state - The directory.
 * @returns Each worker with the best condition of its minions, in order of id.
 */
export function listFleetWorkers(state: MinionsState): readonly FleetWorker[] {
	const workers = new Map<WorkerId, FleetWorker>();
	for (const {worker, pool, dataCentre, condition, renewedAtMs} of state.entries.values()) {
		const known = workers.get(worker);
		if (known === undefined || renewedAtMs > known.lastSeenAtMs) {
			const isUp = condition !== 'silent' || known?.condition === 'up';
			workers.set(worker, {
				worker, pool, dataCentre, condition: isUp ? 'up' : 'silent', lastSeenAtMs: renewedAtMs,
			});
		} else if (condition !== 'silent') {
			workers.set(worker, {...known, condition: 'up'});
		}
	}

	return [...workers.values()].toSorted((left, right) => left.worker < right.worker ? -1 : 1);
}
