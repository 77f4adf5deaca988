/**
 * Sees to it that orders to start a run that is over for the leader start nothing any more: those of runs
 * that were given up, and those that may reach the next life of their minion.
 */
import {waitFor} from '@samphiremill/common';
import type {
	MinionRecord, RunEnd, TaskId,
} from '@samphiremill/core';
import {holdSlackMs, longestGiveWayMs, orderRetryMs} from './constants.js';
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
	const {timers, minions, log, fencingToken} = context;
	/** Runs that were given up, and that the minion will not start any more. */
	const closedRuns = new Map<TaskId, number>();
	/** Another life was seen at the address, so the session orders nothing any more. */
	let hasOtherLife = false;
	let handingOver: Promise<void> | undefined;

	const listOpenLapses = () => [...context.getLedger().lives.get(record.life)?.lapsed ?? []].filter(([task, run]) => closedRuns.get(task) !== run);

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
		const left = listOpenLapses();
		log.info(`minion ${record.minion} is told not to start ${open.length} runs that were given up`, {
			minion: record.minion, life: record.life, left: left.length, tasks: open.map(([task, run]) => `${task}#${run}`),
		});
		return left.length === 0;
	};

	const lookAtNextLife = async (): Promise<HoldReport | undefined> => {
		const answer = await minions.hold({
			target, fencingToken, lastSeen: 0, deadlineMs: undefined, waitMs: 0, timeoutMs: holdSlackMs,
		});
		return answer.type === 'answered' && answer.value !== 'fenced' ? answer.value : undefined;
	};

	// What may have started in the next life is stopped there. Returns what may still run.
	const stopInNextLife = async (doubtful: readonly RunControl[]): Promise<readonly RunControl[]> => {
		const stops = await Promise.all(doubtful.map(async ({assignment: {task, run}}) => sendStop(task, run)));
		const report = stops.every(Boolean) ? await lookAtNextLife() : undefined;
		if (report === undefined) {
			return doubtful;
		}

		await endRuns(toRunEnds(report.finished, record.life));
		const running = new Set(report.running.map(({task}) => task));
		return doubtful.filter(({assignment: {task}}) => running.has(task));
	};

	const closeDoubtful = async (doubtful: readonly RunControl[]) => {
		const untilMs = timers.getNow() + longestGiveWayMs;
		let left = doubtful;
		while (left.length > 0 && isOpen() && timers.getNow() < untilMs) {
			left = await stopInNextLife(left); // eslint-disable-line no-await-in-loop -- until none is left
			if (left.length > 0) {
				await waitFor(timers, orderRetryMs); // eslint-disable-line no-await-in-loop -- until none is left
			}
		}
	};

	const handOver = async () => {
		const known = listControls();
		const doubtful = known.filter(control => isDoubtful(control));
		log.info(`minion ${record.minion} began another life`, {
			minion: record.minion, life: record.life, runs: known.length, doubtful: doubtful.map(({assignment: {task}}) => task),
		});
		await endRuns(known.filter(control => !isDoubtful(control)).map(({assignment}) => createRunEnd(assignment, 'lapsed')));
		await closeDoubtful(doubtful);
		await closeLapsedRuns();
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
		closeLapsedRuns,
		hasOpenLapses: () => listOpenLapses().length > 0,
	};
}
