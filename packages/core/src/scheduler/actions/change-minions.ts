import {
	createIncarnationUsage, findTask, dropTasksIfEnded, removeRun,
} from '../ledger.js';
import {recordPoolChanged} from '../work-index.js';
import type {
	Ledger, LedgerOutcome, IncarnationId, MinionRecord,
} from '../types.js';

const isOlderIncarnationOf = (known: MinionRecord, record: MinionRecord) =>
	known.life !== record.life
	&& known.bornAtMs <= record.bornAtMs
	&& (known.minion === record.minion || known.worker === record.worker || known.address === record.address);

/** Removes an incarnation of a minion, together with its runs, which ended with it. Ignores an unknown incarnation. */
export function removeMinion(ledger: Ledger, incarnation: IncarnationId): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage === undefined) {
		return {type: 'ignored'};
	}

	for (const [id, number] of usage.runs) {
		const task = findTask(ledger, id);
		if (task !== undefined) {
			dropTasksIfEnded(ledger, removeRun(ledger, task, {number, life: incarnation}).job);
		}
	}

	ledger.incarnations.delete(incarnation);
	return {type: 'applied'};
}

/** Records that a minion will leave. Ignored if the incarnation is unknown or is already draining. */
export function recordMinionDraining(ledger: Ledger, incarnation: IncarnationId): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage === undefined || usage.isDraining) {
		return {type: 'ignored'};
	}

	usage.isDraining = true;
	return {type: 'applied'};
}

/**
 * Adds a new incarnation of a minion, and removes earlier incarnations of the same minion, on the same worker
 * or at the same address. Ignores an incarnation that is known, and one that is older than a known incarnation of
 * that minion, worker or address, since its report was delayed over a restart.
 */
export function addMinion(ledger: Ledger, record: MinionRecord): LedgerOutcome {
	const others = [...ledger.incarnations.values()].map(({record: known}) => known);
	if (ledger.incarnations.has(record.life) || others.some(known => isOlderIncarnationOf(record, known) && known.bornAtMs > record.bornAtMs)) {
		return {type: 'ignored'};
	}

	for (const known of others) {
		if (isOlderIncarnationOf(known, record)) {
			removeMinion(ledger, known.life);
		}
	}

	ledger.incarnations.set(record.life, createIncarnationUsage(record));
	recordPoolChanged(ledger.index, record.pool);
	return {type: 'applied'};
}
