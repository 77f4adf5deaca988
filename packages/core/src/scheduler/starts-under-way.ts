/**
 * Starts that got no answer and may still be carried out, by whichever incarnation of their minion is there then. The call names the minion only,
 * and an incarnation that has just started knows neither of the stops nor of the fencing tokens of the ones before it.
 */
import type {MinionId} from '@samphiremill/common';
import {maximumStartsOfTask, maximumStartsUnderWay} from './constants.js';
import type {
	IncarnationUsage, Ledger, RunAssignment, StartUnderWay, TaskId,
} from './types.js';
import {createRunKey} from './uncertain-starts.js';

type RunOfTask = Pick<RunAssignment, 'task' | 'run'>;

const isSameRun = (left: RunOfTask, right: RunOfTask) => left.task === right.task && left.run === right.run;

/** Returns the start of a run if it may still be under way. */
export function findStartUnderWay({startsUnderWay}: Ledger, run: RunOfTask): StartUnderWay | undefined {
	return startsUnderWay.get(run.task)?.find(start => isSameRun(start, run));
}

/** Returns the latest start of a task that may still be under way. */
export function findLatestStartUnderWay({startsUnderWay}: Ledger, task: TaskId): StartUnderWay | undefined {
	return startsUnderWay.get(task)?.at(-1);
}

/** Lists the starts that any incarnation of a minion may still carry out. */
export function listStartsUnderWayTo({startsUnderWay}: Ledger, minion: MinionId): readonly StartUnderWay[] {
	return [...startsUnderWay.values()].flatMap(starts => starts.filter(start => start.minion === minion));
}

/** Records starts that may still be under way. Beyond the bounds, the tasks and runs that were recorded first are forgotten. */
export function recordStartsUnderWay(ledger: Ledger, starts: readonly StartUnderWay[]): void {
	const {startsUnderWay} = ledger;
	for (const start of starts) {
		if (findStartUnderWay(ledger, start) === undefined) {
			const known = startsUnderWay.get(start.task) ?? [];
			startsUnderWay.set(start.task, [...known, start].toSorted((left, right) => left.run - right.run).slice(-maximumStartsOfTask));
		}
	}

	for (const task of startsUnderWay.keys()) {
		if (startsUnderWay.size <= maximumStartsUnderWay) {
			return;
		}

		startsUnderWay.delete(task);
	}
}

const keepStarts = ({startsUnderWay}: Ledger, isKept: (start: StartUnderWay) => boolean) => {
	for (const [task, starts] of startsUnderWay) {
		const kept = starts.filter(start => isKept(start));
		if (kept.length === 0) {
			startsUnderWay.delete(task);
		} else if (kept.length < starts.length) {
			startsUnderWay.set(task, kept);
		}
	}
};

/** Forgets starts that must have arrived by now. */
export function forgetArrivedStarts(ledger: Ledger, arrived: readonly RunOfTask[]): void {
	if (arrived.length === 0) {
		return;
	}

	const keys = new Set(arrived.map(run => createRunKey(run)));
	keepStarts(ledger, start => !keys.has(createRunKey(start)));
}

/** Forgets the starts for a minion that does not come back: it drains, or another one has taken its worker or its address and refuses them. */
export function forgetStartsTo(ledger: Ledger, minion: MinionId): void {
	keepStarts(ledger, start => start.minion !== minion);
}

/** Records the starts of an incarnation that nobody has confirmed. The next incarnation of the minion may carry them out. */
export function keepUncertainStarts(ledger: Ledger, {record: {life, minion}, runs}: IncarnationUsage): void {
	const uncertain = [...runs].filter(([task, run]) => ledger.uncertainStarts.has(createRunKey({task, run})));
	recordStartsUnderWay(ledger, uncertain.map(([task, run]) => ({
		task, run, life, minion,
	})));
}
