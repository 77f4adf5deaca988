/**
 * Sees to it that orders to start a run that is over for the leader start nothing any more: those of runs
 * that were given up, and those that may reach the next life of their minion.
 */
import {waitFor} from '@samphiremill/common';
import {
	getInheritedLeaseMs, type MinionRecord, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import {holdTimeoutMarginMs, unansweredStartWindowMs, orderRetryDelayMs} from './constants.js';
import {hasUncertainStart, type TrackedRun} from './run-control.js';
import {createRunEnd, toRunEnds} from './run-orders.js';
import type {SessionContext} from './session-context.js';
import type {HoldReport, MinionTarget} from './types.js';

/** What the closing needs of the session. */
export type LateStartGuardOptions = {
	readonly record: MinionRecord;
	readonly target: MinionTarget;
	readonly context: SessionContext;
	readonly listTrackedRuns: () => readonly TrackedRun[];
	/** Whether the session goes on. */
	readonly isOpen: () => boolean;
	/** Resolves to whether the stop was confirmed. */
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
	readonly endRuns: (ends: readonly RunEnd[]) => Promise<boolean>;
	/** Lets the life go. */
	readonly removeIncarnation: (reason: string) => Promise<void>;
};

/** The closing of runs of one session. */
export type LateStartGuard = {
	/** Another life of the minion answers at its address: closes what may have started there, and leaves. */
	readonly handleNextIncarnation: () => Promise<void>;
	/** Whether another life was seen; stays so, since the log may not have taken the departure. */
	readonly isSuperseded: () => boolean;
	/** Takes in that a start got no answer, so that it may be carried out later, also by the next life. */
	readonly recordUnansweredStart: (assignment: RunAssignment) => void;
	/** Resolves to whether the minion starts none of the runs that were given up. */
	readonly closeLapsedRuns: () => Promise<boolean>;
	/** Whether orders to start runs that were given up may still be carried out. */
	readonly hasUnblockedLapsedRuns: () => boolean;
};

/**
 * @param options - What the closing needs.
 * @returns The closing.
 */
export function createLateStartGuard({record, target, context, listTrackedRuns: listControls, isOpen, sendStop, endRuns, removeIncarnation: leave}: LateStartGuardOptions): LateStartGuard {
	const {timers, minions, log, fencingToken, longestHoldMs} = context;
	/** Starts that got no answer, by the time of the last one. */
	const unansweredStarts = new Map<TaskId, {readonly run: number; readonly sentAtMs: number}>();
	/** Runs that were given up, and that the minion will not start any more. */
	const blockedRuns = new Map<TaskId, number>();
	/** Another life was seen at the address, so the session orders nothing any more. */
	let hasSeenNextIncarnation = false;
	let retirement: Promise<void> | undefined;

	const listUnblockedLapsedRuns = () => [...context.getLedger().incarnations.get(record.life)?.lapsed ?? []].filter(([task, run]) => blockedRuns.get(task) !== run);

	// A start that was sent before the lease ran out may still be on its way. Until the lease is granted anew
	// the minion refuses it as late; after a stop of the run it does so for good.
	const blockLapsedRuns = async (): Promise<boolean> => {
		const unblocked = listUnblockedLapsedRuns();
		if (unblocked.length === 0) {
			return true;
		}

		await Promise.all(unblocked.map(async ([task, run]) => {
			if (await sendStop(task, run)) {
				blockedRuns.set(task, run);
			}
		}));
		// More may have been given up meanwhile.
		const stillOpen = listUnblockedLapsedRuns();
		log.info(`minion ${record.minion} is told not to start ${unblocked.length} runs that were given up`, {
			minion: record.minion, life: record.life, stillOpen: stillOpen.length, tasks: unblocked.map(([task, run]) => `${task}#${run}`),
		});
		return stillOpen.length === 0;
	};

	const queryNextIncarnation = async (): Promise<HoldReport | undefined> => {
		const answer = await minions.hold({
			target, fencingToken, lastSeen: 0, deadlineMs: undefined, waitMs: 0, timeoutMs: holdTimeoutMarginMs,
		});
		return answer.type === 'answered' && answer.value !== 'fenced' ? answer.value : undefined;
	};

	const dropExpiredStarts = () => {
		for (const [task, {sentAtMs}] of unansweredStarts) {
			if (timers.getNow() - sentAtMs < unansweredStartWindowMs) {
				return;
			}

			unansweredStarts.delete(task);
		}
	};

	// What the next life may have started: runs whose order was not seen to be carried out, given up or not, and late
	// copies of orders that were.
	const listPossibleRuns = (uncertainRuns: readonly TrackedRun[]): ReadonlyMap<TaskId, number> => new Map([
		...[...unansweredStarts].map(([task, {run}]) => [task, run] as const),
		...context.getLedger().incarnations.get(record.life)?.lapsed ?? [],
		...uncertainRuns.map(({assignment: {task, run}}) => [task, run] as const),
	]);

	// Stops the runs in the next life, and takes the ends that it lists into the log. Returns what may still run.
	const stopInNextIncarnation = async (possibleRuns: ReadonlyMap<TaskId, number>): Promise<ReadonlyMap<TaskId, number>> => {
		const stops = await Promise.all([...possibleRuns].map(async ([task, run]) => sendStop(task, run)));
		const report = stops.every(Boolean) ? await queryNextIncarnation() : undefined;
		if (report === undefined || !await endRuns(toRunEnds(report.finished, record.life))) {
			return possibleRuns;
		}

		const running = new Set(report.running.map(({task}) => task));
		return new Map([...possibleRuns].filter(([task]) => running.has(task)));
	};

	// A start that reached the next life has granted it the longest lease: its deadline is on the clock of the last one.
	const stopPossibleRuns = async (runsToStop: ReadonlyMap<TaskId, number>) => {
		const untilMs = timers.getNow() + getInheritedLeaseMs(longestHoldMs);
		let left = runsToStop;
		while (left.size > 0 && isOpen() && timers.getNow() < untilMs) {
			left = await stopInNextIncarnation(left); // eslint-disable-line no-await-in-loop -- until none is left
			if (left.size > 0) {
				await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until none is left
			}
		}
	};

	const retireIncarnation = async () => {
		const trackedRuns = listControls();
		const doubtful = trackedRuns.filter(control => hasUncertainStart(control));
		dropExpiredStarts();
		const openRuns = listPossibleRuns(doubtful);
		log.info(`minion ${record.minion} began another life`, {
			minion: record.minion, life: record.life, runs: trackedRuns.length, open: [...openRuns].map(([task, run]) => `${task}#${run}`),
		});
		await endRuns(trackedRuns.filter(control => !hasUncertainStart(control)).map(({assignment}) => createRunEnd(assignment, 'lapsed')));
		await stopPossibleRuns(openRuns);
		await leave('it began another life');
		retirement = undefined;
	};

	return {
		async handleNextIncarnation() {
			hasSeenNextIncarnation = true;
			retirement ??= retireIncarnation();
			return retirement;
		},
		isSuperseded: () => hasSeenNextIncarnation,
		recordUnansweredStart({task, run}) {
			dropExpiredStarts();
			// The map stays in the order of the times.
			unansweredStarts.delete(task);
			unansweredStarts.set(task, {run, sentAtMs: timers.getNow()});
		},
		closeLapsedRuns: blockLapsedRuns,
		hasUnblockedLapsedRuns: () => listUnblockedLapsedRuns().length > 0,
	};
}
