/**
 * Prevents start orders that are still in flight from starting runs that the leader no longer tracks. These are
 * orders of lapsed runs (the lease expired before their end was reported), and orders that may reach the next
 * incarnation of their minion.
 */
import {waitFor} from '@samphiremill/common';
import {
	getInheritedLeaseMs, listStartsUnderWayTo, type MinionRecord, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import {
	holdTimeoutMarginMs, orderRetryDelayMs, startArrivalMs, unansweredStartWindowMs,
} from './constants.js';
import {listForLog} from './logged-list.js';
import {hasUncertainStart, type TrackedRun} from './tracked-run.js';
import {createRunEnd, toRunEnds} from './run-orders.js';
import type {SessionContext} from './session-context.js';
import type {UnansweredStart} from './starts-under-way.js';
import type {HoldReport, MinionTarget} from './types.js';

/** The parts of a minion session that the guard uses. */
export type LateStartGuardOptions = {
	readonly record: MinionRecord;
	readonly target: MinionTarget;
	readonly context: SessionContext;
	readonly listTrackedRuns: () => readonly TrackedRun[];
	/** Whether the session is still open. */
	readonly isOpen: () => boolean;
	/** Resolves to whether the minion confirmed the stop. */
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
	readonly endRuns: (ends: readonly RunEnd[]) => Promise<boolean>;
	/** Removes the incarnation from the ledger. */
	readonly removeIncarnation: (reason: string) => Promise<void>;
};

/** Blocks late starts of one session. */
export type LateStartGuard = {
	/**
	 * Handles that another incarnation of the minion answers at its address: stops the runs that may have started
	 * there, then removes the session's incarnation from the ledger.
	 *
	 * @param sinceMs - Since when the session has started nothing, on the monotonic clock; now by default.
	 */
	readonly handleNextIncarnation: (sinceMs?: number) => Promise<void>;
	/** Whether another incarnation was seen. Never reset, since the removal may not have been committed. */
	readonly isSuperseded: () => boolean;
	/** Records that a start order got no answer. It may be executed later, also by the next incarnation. */
	readonly recordUnansweredStart: (assignment: RunAssignment) => void;
	/** Sends a stop for each lapsed run. Resolves to whether the minion can start none of them any more. */
	readonly blockLapsedRuns: () => Promise<boolean>;
	/** Whether start orders of lapsed runs may still be executed. */
	readonly hasUnblockedLapsedRuns: () => boolean;
};

export function createLateStartGuard({record, target, context, listTrackedRuns, isOpen, sendStop, endRuns, removeIncarnation}: LateStartGuardOptions): LateStartGuard {
	const {timers, minions, log, fencingToken, longestHoldMs} = context;
	/** Start orders that got no answer, ordered by the time of the last attempt. */
	const unansweredStarts = new Map<TaskId, {readonly run: number; readonly sentAtMs: number}>();
	/** Lapsed runs that the minion will not start any more, since it confirmed a stop. */
	const blockedRuns = new Map<TaskId, number>();
	/** Another incarnation answered at the address, so the session sends no more starts. */
	let hasSeenNextIncarnation = false;
	let retirement: Promise<void> | undefined;

	const isBlocked = (task: TaskId, run: number) => (blockedRuns.get(task) ?? 0) >= run;

	const listUnblockedLapsedRuns = () => [...context.getLedger().incarnations.get(record.life)?.lapsed ?? []].filter(([task, run]) => !isBlocked(task, run));

	// Starts for earlier incarnations. This one refuses those of its own runs that have ended.
	const listUnblockedStarts = () => listStartsUnderWayTo(context.getLedger(), record.minion)
		.filter(({task, run, life}) => life !== record.life && !isBlocked(task, run))
		.map(({task, run}) => [task, run] as const);

	const listUnblockedRuns = () => [...listUnblockedLapsedRuns(), ...listUnblockedStarts()];

	// A start that was sent before the lease expired may still be in flight. The minion refuses it as late until the
	// lease is granted again. After a stop of the run it refuses it permanently.
	const blockLapsedRuns = async (): Promise<boolean> => {
		const unblocked = listUnblockedRuns();
		if (unblocked.length === 0) {
			return true;
		}

		await Promise.all(unblocked.map(async ([task, run]) => {
			if (await sendStop(task, run)) {
				blockedRuns.set(task, Math.max(run, blockedRuns.get(task) ?? 0));
			}
		}));
		// More runs may have lapsed in the meantime.
		const stillOpen = listUnblockedRuns();
		log.info(`minion ${record.minion} was told not to start ${unblocked.length} runs that lapsed, or whose starts may be under way`, {
			minion: record.minion, life: record.life, stillOpen: stillOpen.length, tasks: listForLog(unblocked).map(([task, run]) => `${task}#${run}`),
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

	// Lists the runs that the next incarnation may have started: lapsed runs, runs whose start was never confirmed, and
	// runs with an unanswered start order, of which a late copy may arrive there even if the run was confirmed since.
	const listPossibleRuns = (uncertainRuns: readonly TrackedRun[]): ReadonlyMap<TaskId, number> => new Map([
		...[...unansweredStarts].map(([task, {run}]) => [task, run] as const),
		...context.getLedger().incarnations.get(record.life)?.lapsed ?? [],
		...uncertainRuns.map(({assignment: {task, run}}) => [task, run] as const),
	]);

	// Any later incarnation may carry these out, too.
	const listUnansweredStarts = (uncertainRuns: readonly TrackedRun[]): readonly UnansweredStart[] => {
		const {minion, life} = record;
		const nowMs = timers.getNow();
		return [
			...uncertainRuns.map(({assignment: {task, run}, unansweredAtMs = nowMs}) => ({
				task, run, life, minion, sentAtMs: unansweredAtMs,
			})),
			...[...unansweredStarts].map(([task, {run, sentAtMs}]) => ({
				task, run, life, minion, sentAtMs,
			})),
		].filter(({sentAtMs}) => nowMs - sentAtMs < startArrivalMs);
	};

	// Stops the runs in the next incarnation and commits the ends that it lists. Returns the runs that may still be
	// active there.
	const stopInNextIncarnation = async (possibleRuns: ReadonlyMap<TaskId, number>): Promise<ReadonlyMap<TaskId, number>> => {
		const stops = await Promise.all([...possibleRuns].map(async ([task, run]) => sendStop(task, run)));
		const report = stops.every(Boolean) ? await queryNextIncarnation() : undefined;
		if (report === undefined || !await endRuns(toRunEnds(report.finished, record.life))) {
			return possibleRuns;
		}

		const running = new Set(report.running.map(({task}) => task));
		return new Map([...possibleRuns].filter(([task]) => running.has(task)));
	};

	// Stops retrying after the longest lease that the minion accepts. A start that reached the next incarnation granted it
	// that lease, because its deadline is on the clock of the previous incarnation.
	const stopPossibleRuns = async (runsToStop: ReadonlyMap<TaskId, number>, sinceMs: number) => {
		const untilMs = sinceMs + getInheritedLeaseMs(longestHoldMs);
		let remaining = runsToStop;
		while (remaining.size > 0 && isOpen() && timers.getNow() < untilMs) {
			remaining = await stopInNextIncarnation(remaining); // eslint-disable-line no-await-in-loop -- until no run remains
			if (remaining.size > 0) {
				await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until no run remains
			}
		}
	};

	const retireIncarnation = async (sinceMs: number) => {
		const trackedRuns = listTrackedRuns();
		const uncertainRuns = trackedRuns.filter(trackedRun => hasUncertainStart(trackedRun));
		dropExpiredStarts();
		const openRuns = listPossibleRuns(uncertainRuns);
		log.info(`minion ${record.minion} started a new incarnation`, {
			minion: record.minion, life: record.life, runs: trackedRuns.length, openCount: openRuns.size, open: listForLog([...openRuns]).map(([task, run]) => `${task}#${run}`),
		});
		if (!await context.startsUnderWay.record(listUnansweredStarts(uncertainRuns))) {
			retirement = undefined;
			return;
		}

		await endRuns(trackedRuns.filter(trackedRun => !hasUncertainStart(trackedRun)).map(({assignment}) => createRunEnd(assignment, 'lapsed')));
		await stopPossibleRuns(openRuns, sinceMs);
		await removeIncarnation('it started a new incarnation');
		retirement = undefined;
	};

	return {
		async handleNextIncarnation(sinceMs = timers.getNow()) {
			hasSeenNextIncarnation = true;
			retirement ??= retireIncarnation(sinceMs);
			return retirement;
		},
		isSuperseded: () => hasSeenNextIncarnation,
		recordUnansweredStart({task, run}) {
			dropExpiredStarts();
			// Deleted first, so that the map stays ordered by time.
			unansweredStarts.delete(task);
			unansweredStarts.set(task, {run, sentAtMs: timers.getNow()});
		},
		blockLapsedRuns,
		hasUnblockedLapsedRuns: () => listUnblockedLapsedRuns().length > 0,
	};
}
