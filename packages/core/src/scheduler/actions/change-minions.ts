import {
	createLifeUse, findTask, releaseTasks, removeRun,
} from '../ledger.js';
import {notePoolChanged} from '../work-index.js';
import type {
	Ledger, LedgerOutcome, LifeId, MinionRecord,
} from '../types.js';

const isOlderLifeOf = (known: MinionRecord, record: MinionRecord) =>
	known.life !== record.life
	&& known.bornAtMs <= record.bornAtMs
	&& (known.minion === record.minion || known.worker === record.worker || known.address === record.address);

/**
 * Lets a life of a minion go. What ran there has ended with it.
 *
 * @param ledger - The ledger.
 * @param life - The life.
 * @returns Whether it was known.
 */
export function removeMinion(ledger: Ledger, life: LifeId): LedgerOutcome {
	const use = ledger.lives.get(life);
	if (use === undefined) {
		return {type: 'ignored'};
	}

	for (const [id, number] of use.runs) {
		const task = findTask(ledger, id);
		if (task !== undefined) {
			releaseTasks(ledger, removeRun(ledger, task, {number, life}).job);
		}
	}

	ledger.lives.delete(life);
	return {type: 'applied'};
}

/**
 * Notes that a minion will leave.
 *
 * @param ledger - The ledger.
 * @param life - Its life.
 * @returns Whether that is new.
 */
export function noteMinionDraining(ledger: Ledger, life: LifeId): LedgerOutcome {
	const use = ledger.lives.get(life);
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
	const others = [...ledger.lives.values()].map(({record: known}) => known);
	if (ledger.lives.has(record.life) || others.some(known => isOlderLifeOf(record, known) && known.bornAtMs > record.bornAtMs)) {
		return {type: 'ignored'};
	}

	for (const known of others) {
		if (isOlderLifeOf(known, record)) {
			removeMinion(ledger, known.life);
		}
	}

	ledger.lives.set(record.life, createLifeUse(record));
	notePoolChanged(ledger.index, record.pool);
	return {type: 'applied'};
}
