/**
 * Detects runs that make no progress (stalled), or that are much slower than other runs of their step (straggling).
 */
import {
	findTask, getStep, assessRun, isAssessable, predictTotalMs,
	type Ledger, type IncarnationId, type RunVerdict, type TaskId,
} from '@samphiremill/core';
import {createStepId} from './advice-cache.js';
import type {MinionSession} from './minion-session.js';
import type {RunView} from './tracked-run.js';

/** A run that is to be restarted or copied. */
export type Straggler = {
	readonly session: MinionSession;
	readonly task: TaskId;
	readonly verdict: Exclude<RunVerdict, 'sound'>;
	readonly percent: number;
	readonly elapsedMs: number;
	readonly slowness: number | undefined;
};

/** The straggler detection of one leader. */
export type StragglerDetector = {
	/** Records how long a completed run took. */
	readonly recordCompletion: (task: TaskId, done: {readonly life: IncarnationId; readonly elapsedMs: number}) => void;
	/** Assesses all runs, reports their slowness to their sessions, and returns the stalled and straggling ones. */
	readonly findStragglers: (sessions: Iterable<MinionSession>) => readonly Straggler[];
	/** Drops the durations of steps whose jobs have ended. */
	readonly pruneSteps: () => void;
};

type StepDuration = {
	readonly life: IncarnationId;
	readonly totalMs: number;
};

type ObservedRun = {
	readonly session: MinionSession;
	readonly run: RunView;
	readonly stepId: string;
	readonly elapsedMs: number;
	readonly unchangedMs: number;
};

export function createStragglerDetector({getLedger}: {readonly getLedger: () => Ledger}): StragglerDetector {
	const completedDurations = new Map<string, readonly StepDuration[]>();

	const observeRun = (session: MinionSession, run: RunView): readonly ObservedRun[] => {
		const {phase, startedAtMs, listedAtMs, progressedAtMs, percent} = run;
		if (phase !== 'running' || startedAtMs === undefined || listedAtMs === undefined) {
			return [];
		}

		const elapsedMs = listedAtMs - startedAtMs;
		const unchangedMs = listedAtMs - (progressedAtMs ?? startedAtMs);
		// Most runs end before they can be assessed, so their tasks are not looked up.
		if (!isAssessable({elapsedMs, percent, unchangedMs})) {
			return [];
		}

		const task = findTask(getLedger(), run.task);
		return task === undefined || getStep(task).isLasting
			? []
			: [{
				session, run, stepId: createStepId(task), elapsedMs, unchangedMs,
			}];
	};

	const groupDurations = (observedRuns: readonly ObservedRun[]) => {
		const durations = new Map<string, readonly StepDuration[]>();
		for (const {session, run, stepId, elapsedMs, unchangedMs} of observedRuns) {
			const totalMs = predictTotalMs({elapsedMs, percent: run.percent, unchangedMs});
			if (totalMs !== undefined) {
				durations.set(stepId, [...durations.get(stepId) ?? [], {life: session.record.life, totalMs}]);
			}
		}

		return durations;
	};

	return {
		recordCompletion(id, {life, elapsedMs}) {
			const task = findTask(getLedger(), id);
			if (task !== undefined) {
				const stepId = createStepId(task);
				completedDurations.set(stepId, [...completedDurations.get(stepId) ?? [], {life, totalMs: elapsedMs}]);
			}
		},
		findStragglers(sessions) {
			const observedRuns = [...sessions].filter(session => session.isAnswering()).flatMap(session => session.listRuns().flatMap(run => observeRun(session, run)));
			const running = groupDurations(observedRuns);
			return observedRuns.flatMap(({session, run, stepId, elapsedMs, unchangedMs}) => {
				const peerTotalsMs = [...completedDurations.get(stepId) ?? [], ...running.get(stepId) ?? []]
					.filter(({life}) => life !== session.record.life)
					.map(({totalMs}) => totalMs);
				const {verdict, slowness} = assessRun({elapsedMs, percent: run.percent, unchangedMs}, peerTotalsMs);
				if (slowness !== undefined) {
					session.recordSlowness(slowness);
				}

				return verdict === 'sound'
					? []
					: [{
						session, task: run.task, verdict, percent: run.percent, elapsedMs, slowness,
					}];
			});
		},
		pruneSteps() {
			for (const stepId of completedDurations.keys()) {
				if (findTask(getLedger(), `${stepId}.0`) === undefined) {
					completedDurations.delete(stepId);
				}
			}
		},
	};
}

/** Interval between two checks for stragglers, in milliseconds. */
export const stragglerCheckPeriodMs = 300;
