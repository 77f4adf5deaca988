import {
	isAside, getRemainingBudget, getRemainingFleetAllowance, listPoolsWithBudget,
} from './availability.js';
import {orderByFailureDomain} from './order-hosts.js';
import type {DrainCandidate, PlanWaveInput, WavesState} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/**
 * Proposes new grants as far as the pools' budgets and the bounds allow.
 *
 * @param input - The records, the order of hosts and the time.
 * @param draft - The plan to extend.
 */
export function planGrants(input: PlanWaveInput, draft: WaveDraft): void {
	const {control: {records}, cfg, nowMs, orderHosts = orderByFailureDomain} = input;
	const maximumHostsAside = cfg.maximumHostsAsideFleetWide;
	const candidates = findCandidates(input, draft.getState());
	for (const {wave, worker, pool} of orderHosts({candidates, control: {waves: draft.getState(), records}})) {
		const state = draft.getState();
		if (getRemainingFleetAllowance({state, records, maximumHostsAside}) < 1) {
			return;
		}

		if (getRemainingBudget({pool, state, records}) > 0) {
			draft.propose({
				type: 'waves/grantDrain', wave, worker: worker.id, observationRevision: state.observationRevision, atMs: nowMs,
			});
		}
	}
}

/** Leaves out whole pools without budget first, since most hosts are in one. */
function findCandidates({control: {records}, cfg}: PlanWaveInput, state: WavesState): readonly DrainCandidate[] {
	const maximumHostsAside = cfg.maximumHostsAsideFleetWide;
	const running = state.waves.filter(({phase}) => phase === 'running');
	if (running.length === 0 || getRemainingFleetAllowance({state, records, maximumHostsAside}) < 1) {
		return [];
	}

	const openPools = listPoolsWithBudget({state, records});
	const workers = new Map(records.workers.map(worker => [worker.id, worker]));
	const owners = new Map(records.ownership.map(owner => [owner.worker, owner.phase]));
	const unavailable = new Set(state.unavailable.map(({worker}) => worker));
	return running
		.filter(wave => isBelowWaveLimit(wave.wave))
		.flatMap(({wave, hosts}) => hosts
			.filter(({phase, worker}) => phase === 'pending' && !unavailable.has(worker))
			.flatMap(host => {
				const worker = workers.get(host.worker);
				const owner = owners.get(host.worker);
				const isOpen = owner?.type === 'member' && openPools.has(owner.pool);
				return worker !== undefined && isOpen ? [{wave, worker, pool: owner.pool}] : [];
			}));

	function isBelowWaveLimit(wave: DrainCandidate['wave']): boolean {
		const bound = records.waves.find(({record}) => record.id === wave)?.record.maximumHostsAside ?? 0;
		const hosts = state.waves.find(other => other.wave === wave)?.hosts ?? [];
		return hosts.filter(host => isAside(host)).length < bound;
	}
}
