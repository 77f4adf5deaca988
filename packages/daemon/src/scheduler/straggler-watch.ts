/**
 * Watches the runs of all minions for ones that stand still, or that others of their step leave behind.
 */
import {
	findTask, getStep, assessRun, predictTotalMs,
	type Ledger, type IncarnationId, type RunVerdict, type TaskId,
} from '@samphiremill/core';
import {createStepId} from './advice-desk.js';
import type {MinionSession} from './minion-session.js';
import type {RunView} from './run-control.js';

/** A run to hasten. */
export type Straggler = {
	readonly session: MinionSession;
	readonly task: TaskId;
	readonly verdict: Exclude<RunVerdict, 'sound'>;
	readonly percent: number;
	readonly elapsedMs: number;
	readonly slowness: number | undefined;
};

/** The watch of one leader. */
export type StragglerDetector = {
	/** Notes how long a run took that is done. */
	readonly recordCompletion: (task: TaskId, done: {readonly life: IncarnationId; readonly elapsedMs: number}) => void;
	/** Judges all runs, tells the sessions how fast they are, and returns what to hasten. */
	readonly findStragglers: (sessions: Iterable<MinionSession>) => readonly Straggler[];
	/** Forgets steps of jobs that are over. */
	readonly forget: () => void;
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

/**
 * @param options - The ledger.
 * @returns The watch.
 */
export function createStragglerDetector({getLedger}: {readonly getLedger: () => Ledger}): StragglerDetector {
	const completedDurations = new Map<string, readonly StepDuration[]>();

	const observeRun = (session: MinionSession, run: RunView): readonly ObservedRun[] => {
		const task = findTask(getLedger(), run.task);
		const {startedAtMs, listedAtMs, progressedAtMs} = run;
		if (task === undefined || getStep(task).isLasting || run.phase !== 'running' || startedAtMs === undefined || listedAtMs === undefined) {
			return [];
		}

		return [{
			session, run, stepId: createStepId(task), elapsedMs: listedAtMs - startedAtMs, unchangedMs: listedAtMs - (progressedAtMs ?? startedAtMs),
		}];
	};

	const groupDurations = (watched: readonly ObservedRun[]) => {
		const durations = new Map<string, readonly StepDuration[]>();
		for (const {session, run, stepId, elapsedMs, unchangedMs} of watched) {
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
			const watched = [...sessions].filter(session => session.isAnswering()).flatMap(session => session.listRuns().flatMap(run => observeRun(session, run)));
			const running = groupDurations(watched);
			return watched.flatMap(({session, run, stepId, elapsedMs, unchangedMs}) => {
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
		forget() {
			for (const stepId of completedDurations.keys()) {
				if (findTask(getLedger(), `${stepId}.0`) === undefined) {
					completedDurations.delete(stepId);
				}
			}
		},
	};
}

/** How often runs are judged, in milliseconds. */
export const stragglerCheckPeriodMs = 300;
