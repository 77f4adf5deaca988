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

/**
 * Lets a life of a minion go. What ran there has ended with it.
 *
 * @param ledger - The ledger.
 * @param incarnation - The life.
 * @returns Whether it was known.
 */
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

/**
 * Notes that a minion will leave.
 *
 * @param ledger - The ledger.
 * @param life - Its life.
 * @returns Whether that is new.
 */
export function recordMinionDraining(ledger: Ledger, life: IncarnationId): LedgerOutcome {
	const use = ledger.incarnations.get(life);
	if (use === undefined || use.isDraining) {
		return {type: 'ignored'};
	}

	use.isDraining = true;
	return {type: 'applied'};
}

/**
 * Takes a new life of a minion in. Earlier lives of the same minion, on the same worker or at the same
 * address are over.
 *
 * @param ledger - The ledger.
 * @param record - What the minion says of itself.
 * @returns Whether it is new. A report that was delayed over a restart changes nothing.
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
