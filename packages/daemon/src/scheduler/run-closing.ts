/**
 * Sees to it that orders to start a run that is over for the leader start nothing any more: those of runs
 * that were given up, and those that may reach the next life of their minion.
 */
import {waitFor} from '@samphiremill/common';
import {
	getInheritedLeaseMs, type MinionRecord, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import {holdTimeoutMarginMs, unansweredStartWindowMs, orderRetryDelayMs} from './constants.js';
import {isDoubtful, type RunControl} from './run-control.js';
import {createRunEnd, toRunEnds} from './run-orders.js';
import type {SessionContext} from './session-context.js';
import type {HoldReport, MinionTarget} from './types.js';

/** What the closing needs of the session. */
export type RunClosingOptions = {
	readonly record: MinionRecord;
	readonly target: MinionTarget;
	readonly context: SessionContext;
	readonly listControls: () => readonly RunControl[];
	/** Whether the session goes on. */
	readonly isOpen: () => boolean;
	/** Resolves to whether the stop was confirmed. */
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
	readonly endRuns: (ends: readonly RunEnd[]) => Promise<boolean>;
	/** Lets the life go. */
	readonly leave: (reason: string) => Promise<void>;
};

/** The closing of runs of one session. */
export type RunClosing = {
	/** Another life of the minion answers at its address: closes what may have started there, and leaves. */
	readonly giveWay: () => Promise<void>;
	/** Whether another life was seen; stays so, since the log may not have taken the departure. */
	readonly isGivingWay: () => boolean;
	/** Takes in that a start got no answer, so that it may be carried out later, also by the next life. */
	readonly noteUnanswered: (assignment: RunAssignment) => void;
	/** Resolves to whether the minion starts none of the runs that were given up. */
	readonly closeLapsedRuns: () => Promise<boolean>;
	/** Whether orders to start runs that were given up may still be carried out. */
	readonly hasOpenLapses: () => boolean;
};

/**
 * @param options - What the closing needs.
 * @returns The closing.
 */
export function createRunClosing({record, target, context, listControls, isOpen, sendStop, endRuns, leave}: RunClosingOptions): RunClosing {
	const {timers, minions, log, fencingToken, longestHoldMs} = context;
	/** Starts that got no answer, by the time of the last one. */
	const lateStarts = new Map<TaskId, {readonly run: number; readonly sentAtMs: number}>();
	/** Runs that were given up, and that the minion will not start any more. */
	const closedRuns = new Map<TaskId, number>();
	/** Another life was seen at the address, so the session orders nothing any more. */
	let hasOtherLife = false;
	let handingOver: Promise<void> | undefined;

	const listOpenLapses = () => [...context.getLedger().incarnations.get(record.life)?.lapsed ?? []].filter(([task, run]) => closedRuns.get(task) !== run);

	// A start that was sent before the lease ran out may still be on its way. Until the lease is granted anew
	// the minion refuses it as late; after a stop of the run it does so for good.
	const closeLapsedRuns = async (): Promise<boolean> => {
		const open = listOpenLapses();
		if (open.length === 0) {
			return true;
		}

		await Promise.all(open.map(async ([task, run]) => {
			if (await sendStop(task, run)) {
				closedRuns.set(task, run);
			}
		}));
		// More may have been given up meanwhile.
		const stillOpen = listOpenLapses();
		log.info(`minion ${record.minion} is told not to start ${open.length} runs that were given up`, {
			minion: record.minion, life: record.life, stillOpen: stillOpen.length, tasks: open.map(([task, run]) => `${task}#${run}`),
		});
		return stillOpen.length === 0;
	};

	const lookAtNextLife = async (): Promise<HoldReport | undefined> => {
		const answer = await minions.hold({
			target, fencingToken, lastSeen: 0, deadlineMs: undefined, waitMs: 0, timeoutMs: holdTimeoutMarginMs,
		});
		return answer.type === 'answered' && answer.value !== 'fenced' ? answer.value : undefined;
	};

	const forgetLateStarts = () => {
		for (const [task, {sentAtMs}] of lateStarts) {
			if (timers.getNow() - sentAtMs < unansweredStartWindowMs) {
				return;
			}

			lateStarts.delete(task);
		}
	};

	// What the next life may have started: runs whose order was not seen to be carried out, given up or not, and late
	// copies of orders that were.
	const listOpenRuns = (doubtful: readonly RunControl[]): ReadonlyMap<TaskId, number> => new Map([
		...[...lateStarts].map(([task, {run}]) => [task, run] as const),
		...context.getLedger().incarnations.get(record.life)?.lapsed ?? [],
		...doubtful.map(({assignment: {task, run}}) => [task, run] as const),
	]);

	// Stops the runs in the next life, and takes the ends that it lists into the log. Returns what may still run.
	const stopInNextLife = async (open: ReadonlyMap<TaskId, number>): Promise<ReadonlyMap<TaskId, number>> => {
		const stops = await Promise.all([...open].map(async ([task, run]) => sendStop(task, run)));
		const report = stops.every(Boolean) ? await lookAtNextLife() : undefined;
		if (report === undefined || !await endRuns(toRunEnds(report.finished, record.life))) {
			return open;
		}

		const running = new Set(report.running.map(({task}) => task));
		return new Map([...open].filter(([task]) => running.has(task)));
	};

	// A start that reached the next life has granted it the longest lease: its deadline is on the clock of the last one.
	const closeOpenRuns = async (open: ReadonlyMap<TaskId, number>) => {
		const untilMs = timers.getNow() + getInheritedLeaseMs(longestHoldMs);
		let left = open;
		while (left.size > 0 && isOpen() && timers.getNow() < untilMs) {
			left = await stopInNextLife(left); // eslint-disable-line no-await-in-loop -- until none is left
			if (left.size > 0) {
				await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until none is left
			}
		}
	};

	const handOver = async () => {
		const known = listControls();
		const doubtful = known.filter(control => isDoubtful(control));
		forgetLateStarts();
		const open = listOpenRuns(doubtful);
		log.info(`minion ${record.minion} began another life`, {
			minion: record.minion, life: record.life, runs: known.length, open: [...open].map(([task, run]) => `${task}#${run}`),
		});
		await endRuns(known.filter(control => !isDoubtful(control)).map(({assignment}) => createRunEnd(assignment, 'lapsed')));
		await closeOpenRuns(open);
		await leave('it began another life');
		handingOver = undefined;
	};

	return {
		async giveWay() {
			hasOtherLife = true;
			handingOver ??= handOver();
			return handingOver;
		},
		isGivingWay: () => hasOtherLife,
		noteUnanswered({task, run}) {
			forgetLateStarts();
			// The map stays in the order of the times.
			lateStarts.delete(task);
			lateStarts.set(task, {run, sentAtMs: timers.getNow()});
		},
		closeLapsedRuns,
		hasOpenLapses: () => listOpenLapses().length > 0,
	};
}
