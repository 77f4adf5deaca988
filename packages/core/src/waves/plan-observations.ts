import type {HostCondition, ObservedHost, PlanWaveInput} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/**
 * Proposes to commit every change of what the leader sees of hosts.
 *
 * @param input - What the leader sees.
 * @param draft - The plan to extend.
 */
export function planObservations({control, fleet, nowMs}: PlanWaveInput, draft: WaveDraft): void {
	const seen = new Map(fleet.workers.map(({worker, condition}) => [worker, condition]));
	const committed = new Map(control.waves.unavailable.map(({worker, condition}) => [worker, condition]));
	const getCommitted = (worker: ObservedHost['worker']): HostCondition => committed.get(worker) ?? 'up';
	const current = control.records.workers
		.map(({id}): ObservedHost => ({worker: id, condition: seen.get(id) ?? 'unknown'}));
	const recorded = new Set(control.records.workers.map(({id}) => id));
	const gone = control.waves.unavailable
		.filter(({worker}) => !recorded.has(worker))
		.map(({worker}): ObservedHost => ({worker, condition: 'up'}));
	const conditions = [...current, ...gone].filter(({worker, condition}) => condition !== getCommitted(worker));
	if (conditions.length > 0) {
		draft.propose({type: 'waves/observeHosts', conditions, atMs: nowMs});
	}
}
