import type {MinionId} from '@samphiremill/common';
import {maximumEndedMinions} from '../constants.js';
import {
	createIncarnationUsage, findTask, dropTasksIfOver, removeRun,
} from '../ledger.js';
import {forgetStartsTo, keepUncertainStarts} from '../starts-under-way.js';
import {recordPoolChanged} from '../work-index.js';
import type {
	Ledger, LedgerCommand, LedgerOutcome, IncarnationId, MinionLoss, MinionRecord, Resources,
} from '../types.js';
import {recordCrash} from './record-crash.js';

const isOlderIncarnationOf = (known: MinionRecord, record: MinionRecord) =>
	known.life !== record.life
	&& known.bornAtMs <= record.bornAtMs
	&& (known.minion === record.minion || known.worker === record.worker || known.address === record.address);

/** The unplanned end of an incarnation, and what the leader knows of its loss. */
export type UnplannedEnd = {
	readonly loss: MinionLoss | undefined;
};

// Deleted first, so that the set stays ordered by time.
const recordEndedMinion = ({endedMinions}: Ledger, minion: MinionId) => {
	endedMinions.delete(minion);
	endedMinions.add(minion);
	const [oldest] = endedMinions;
	if (oldest !== undefined && endedMinions.size > maximumEndedMinions) {
		endedMinions.delete(oldest);
	}
};

/**
 * Removes an incarnation of a minion, together with its runs, which ended with it. Ignores an unknown incarnation.
 *
 * @param end - Present if the incarnation has certainly ended and its end was not announced.
 */
export function removeMinion(ledger: Ledger, incarnation: IncarnationId, end?: UnplannedEnd): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage === undefined) {
		return {type: 'ignored'};
	}

	const verdict = end && recordCrash(ledger, {usage, loss: end.loss});
	for (const [id, number] of usage.runs) {
		const task = findTask(ledger, id);
		if (task !== undefined) {
			dropTasksIfOver(ledger, removeRun(ledger, task, {number, life: incarnation}));
		}
	}

	ledger.incarnations.delete(incarnation);
	recordEndedMinion(ledger, usage.record.minion);
	return verdict === undefined ? {type: 'applied'} : {type: 'applied', crashes: [verdict]};
}

/** Records that a minion will leave. Ignored if the incarnation is unknown or is already draining. */
export function recordMinionDraining(ledger: Ledger, incarnation: IncarnationId): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage === undefined || usage.isDraining) {
		return {type: 'ignored'};
	}

	usage.isDraining = true;
	// It leaves for good, so no later incarnation carries anything out.
	forgetStartsTo(ledger, usage.record.minion);
	return {type: 'applied'};
}

/** Records that no call for an earlier incarnation can have granted this one a lease that is still valid. */
export function settleMinion(ledger: Ledger, incarnation: IncarnationId): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage?.mayHoldForeignLease !== true) {
		return {type: 'ignored'};
	}

	usage.mayHoldForeignLease = false;
	return {type: 'applied'};
}

/**
 * Changes the capacity of a minion. If it shrinks below what runs there, nothing more starts until enough has ended. Ignored
 * if the incarnation is unknown.
 *
 * @param change - The capacity, and the number of the report that names it.
 */
export function resizeMinion(ledger: Ledger, incarnation: IncarnationId, {capacity, sequence}: {readonly capacity: Resources; readonly sequence?: number}): LedgerOutcome {
	const usage = ledger.incarnations.get(incarnation);
	if (usage === undefined) {
		return {type: 'ignored'};
	}

	usage.record = {...usage.record, capacity};
	usage.capacitySequence = sequence ?? usage.capacitySequence;
	recordPoolChanged(ledger.index, usage.record.pool);
	return {type: 'applied'};
}

/**
 * Adds a new incarnation of a minion, and removes earlier incarnations of the same minion, on the same worker
 * or at the same address. Ignores an incarnation that is known, and one that is older than a known incarnation of
 * that minion, worker or address, since its report was delayed over a restart.
 *
 * @param joined - The new incarnation, and what the leader knows of the loss of earlier ones.
 */
export function addMinion(ledger: Ledger, {record, losses = []}: Pick<LedgerCommand & {type: 'minion/joined'}, 'record' | 'losses'>): LedgerOutcome {
	const others = [...ledger.incarnations.values()].map(({record: known}) => known);
	if (ledger.incarnations.has(record.life) || others.some(known => isOlderIncarnationOf(record, known) && known.bornAtMs > record.bornAtMs)) {
		return {type: 'ignored'};
	}

	const crashes = others.filter(known => isOlderIncarnationOf(known, record)).flatMap(({life, minion}) => {
		const usage = ledger.incarnations.get(life);
		if (minion !== record.minion) {
			forgetStartsTo(ledger, minion);
		} else if (usage !== undefined) {
			keepUncertainStarts(ledger, usage);
		}

		const removed = removeMinion(ledger, life, {loss: losses.find(loss => loss.life === life)});
		return removed.type === 'applied' ? removed.crashes ?? [] : [];
	});

	ledger.incarnations.set(record.life, {...createIncarnationUsage(record), mayHoldForeignLease: ledger.endedMinions.delete(record.minion)});
	recordPoolChanged(ledger.index, record.pool);
	return crashes.length === 0 ? {type: 'applied'} : {type: 'applied', crashes};
}
