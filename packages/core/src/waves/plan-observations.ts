import type {HostCondition, ObservedHost, PlanWaveInput} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/**
 * Proposes to commit every change of the host conditions that the leader observes. Hosts whose record was
 * deleted are no longer listed as unavailable.
 *
 * @param draft - The plan that the command is added to.
 */
export function planObservations({control, fleet, nowMs}: PlanWaveInput, draft: WaveDraft): void {
	const observed = new Map(fleet.workers.map(({worker, condition}) => [worker, condition]));
	const committed = new Map(control.waves.unavailable.map(({worker, condition}) => [worker, condition]));
	const getCommitted = (worker: ObservedHost['worker']): HostCondition => committed.get(worker) ?? 'up';
	const current = control.records.workers
		.map(({id}): ObservedHost => ({worker: id, condition: observed.get(id) ?? 'unknown'}));
	const recorded = new Set(control.records.workers.map(({id}) => id));
	const deleted = control.waves.unavailable
		.filter(({worker}) => !recorded.has(worker))
		.map(({worker}): ObservedHost => ({worker, condition: 'up'}));
	const conditions = [...current, ...deleted].filter(({worker, condition}) => condition !== getCommitted(worker));
	if (conditions.length > 0) {
		draft.propose({type: 'waves/observeHosts', conditions, atMs: nowMs});
	}
}
