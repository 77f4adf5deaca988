/**
 * What one session's incarnation may have started, or may still start, beside what its listings show: runs whose starts got no answer.
 */
import {
	createRunKey, findStartUnderWay, findTask, getStep, type MinionRecord, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import {startArrivalMs} from './constants.js';
import type {SessionContext} from './session-context.js';
import type {UnansweredStart} from './starts-under-way.js';
import type {TrackedRun} from './tracked-run.js';
import type {FinishedEntry} from './types.js';

/** The parts of a minion session that are used here. */
export type UncertainRunsOptions = {
	readonly record: MinionRecord;
	readonly context: Pick<SessionContext, 'getLedger' | 'termBeganAtMs' | 'timers'>;
	readonly getTrackedRun: (task: TaskId) => TrackedRun | undefined;
	/** Returns when the latest call was sent that this incarnation has answered with its runs, on the monotonic clock. */
	readonly getListingSentAtMs: () => number;
	/** How long the longest lease that the minion accepts may last, in milliseconds. */
	readonly longestLeaseMs: number;
};

/** The uncertain runs of one session. */
export type UncertainRuns = {
	/** Whether a start of the run may be under way although a listing has shown the run. */
	readonly hasOtherStart: (run: Pick<RunAssignment, 'task' | 'run'>) => boolean;
	/** Returns the start of a run that no listing has shown, if it may be under way; none otherwise. */
	readonly listUnanswered: (trackedRun: TrackedRun) => readonly UnansweredStart[];
	/** Lists the starts of ended runs that may be under way. */
	readonly listUnansweredOf: (ends: readonly RunEnd[]) => readonly UnansweredStart[];
	/** Whether a start of the run may have granted the next incarnation a lease that outlasts the one of this incarnation. */
	readonly mayOutliveLease: (run: Pick<RunAssignment, 'task' | 'run'>) => boolean;
	/**
	 * Lists the ends of a listing that must not be confirmed yet: another start of the task may be carried out by an incarnation that has heard of
	 * no stop. Callers are told of the end all the same.
	 */
	readonly listHeldEnds: (finished: readonly FinishedEntry[]) => ReadonlySet<FinishedEntry>;
};

export function createUncertainRuns({record, context: {getLedger, termBeganAtMs, timers}, getTrackedRun, getListingSentAtMs, longestLeaseMs}: UncertainRunsOptions): UncertainRuns {
	// When a start order that may have reached the next incarnation, and granted it the longest lease, was last under way.
	const getUncertainStartAtMs = ({isInherited, assignment, unansweredAtMs}: TrackedRun): number | undefined => {
		const isUncertain = isInherited && getLedger().uncertainStarts.has(createRunKey(assignment));
		return isUncertain ? Math.max(termBeganAtMs, unansweredAtMs ?? 0) : unansweredAtMs;
	};

	const findTrackedRun = ({task, run}: Pick<RunAssignment, 'task' | 'run'>) => {
		const trackedRun = getTrackedRun(task);
		return trackedRun?.assignment.run === run ? trackedRun : undefined;
	};

	const hasOtherStart: UncertainRuns['hasOtherStart'] = run => findStartUnderWay(getLedger(), run) !== undefined;

	const listUnanswered: UncertainRuns['listUnanswered'] = trackedRun => {
		const sentAtMs = trackedRun.listedAtMs === undefined ? getUncertainStartAtMs(trackedRun) : undefined;
		return sentAtMs === undefined || timers.getNow() - sentAtMs >= startArrivalMs
			? []
			: [{
				...trackedRun.assignment, minion: record.minion, sentAtMs, ...(getListingSentAtMs() > sentAtMs && {isOvertaken: true}),
			}];
	};

	// After any other end the task may run again.
	const isFinal = ({task: id, ending}: FinishedEntry): boolean => {
		const task = findTask(getLedger(), id);
		const mayRunAgain = task !== undefined && (getStep(task).isLasting || getStep(task).allowsCopies);
		const isLastFailure = ending === 'failed' && task !== undefined && task.failures + 1 >= task.job.maximumAttempts;
		return !mayRunAgain && (ending === 'done' || isLastFailure);
	};

	return {
		hasOtherStart,
		listUnanswered,
		// What the minion lists as done or failed has arrived.
		listUnansweredOf: ends => ends
			.filter(({ending}) => ending !== 'done' && ending !== 'failed')
			.flatMap(end => findTrackedRun(end) ?? [])
			.flatMap(trackedRun => listUnanswered(trackedRun)),
		mayOutliveLease(run) {
			const trackedRun = findTrackedRun(run);
			if (trackedRun === undefined || (trackedRun.listedAtMs !== undefined && !hasOtherStart(run))) {
				return false;
			}

			const sentAtMs = getUncertainStartAtMs(trackedRun);
			return sentAtMs !== undefined && timers.getNow() - sentAtMs < longestLeaseMs;
		},
		listHeldEnds(finished) {
			const {startsUnderWay} = getLedger();
			return new Set(startsUnderWay.size === 0 ? [] : finished.filter(end => startsUnderWay.has(end.task) && isFinal(end)));
		},
	};
}
