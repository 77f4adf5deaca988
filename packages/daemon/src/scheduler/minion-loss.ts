/**
 * Follows when a minion was lost, and what had started there by then. The loss is held against the tasks that crash their
 * minions.
 */
import type {TimerService} from '@samphiremill/common';
import {
	freshRunMs, isSuddenLoss, maximumLostRuns, type LostRun, type MinionLoss, type MinionRecord,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {SessionContext} from './session-context.js';
import type {TrackedRun} from './tracked-run.js';
import type {MinionAnswer} from './types.js';

export type LossTrackerOptions = {
	readonly record: MinionRecord;
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly context: Pick<SessionContext, 'getSteadyTime' | 'isLossShared'>;
	readonly listTrackedRuns: () => readonly TrackedRun[];
};

/** Follows the loss of one incarnation. Times are on the monotonic clock. */
export type LossTracker = {
	/** Records any answer from the minion's address, which shows that it was not lost before. */
	readonly recordContact: () => void;
	/** Records a hold call that got no answer. */
	readonly recordUnansweredHold: (answer: MinionAnswer<unknown>, call: {readonly sentAtMs: number; readonly timeoutMs: number}) => void;
	/** Records that the incarnation itself has answered a hold call. */
	readonly recordAnsweredHold: () => void;
	/** Returns since when the minion does not answer; `undefined` while it does. */
	readonly getLostAtMs: () => number | undefined;
	/** Whether a run may have just started when the minion was lost. */
	readonly wasLostSuddenly: () => boolean;
	/** Describes the loss for the ledger. */
	readonly describe: () => MinionLoss;
};

// How long a run had run by a time; `undefined` if it is not known when it started.
const getRanMs = ({startedAtMs, isInherited}: TrackedRun, atMs: number): number | undefined => {
	const ranMs = Math.max(0, Math.round(atMs - (startedAtMs ?? atMs)));
	// An earlier leader started it before this one first saw it.
	return isInherited && ranMs <= freshRunMs ? undefined : ranMs;
};

// A run whose start was never sent cannot have crashed the minion.
const mayHaveStarted = ({startedAtMs, isInherited, mayStartLate}: TrackedRun) => startedAtMs !== undefined || isInherited || mayStartLate;

// The runs that had just started say most about their tasks. An unknown time counts as none.
const selectLostRuns = (runs: readonly LostRun[]): readonly LostRun[] => runs.length <= maximumLostRuns
	? runs
	: runs.toSorted((left, right) => (left.ranMs ?? 0) - (right.ranMs ?? 0)).slice(0, maximumLostRuns);

export function createLossTracker({record, timers, log, context, listTrackedRuns}: LossTrackerOptions): LossTracker {
	let lastContactAtMs: number = timers.getNow();
	let hasHadContact = false;
	let lostAtMs: number | undefined;
	let wasLostSuddenly = false;
	/** Whether the minion's host has refused a connection since the minion was lost. */
	let hasRefused = false;

	const listLostRuns = (atMs: number): readonly LostRun[] => listTrackedRuns()
		.filter(trackedRun => mayHaveStarted(trackedRun))
		.map(trackedRun => ({task: trackedRun.assignment.task, run: trackedRun.assignment.run, ranMs: getRanMs(trackedRun, atMs)}));

	const recordRefusal = () => {
		if (!hasRefused) {
			log.info(`no process listens at the address of minion ${record.minion}`, {
				minion: record.minion, life: record.life, address: record.address, silentMs: Math.round(timers.getNow() - lastContactAtMs),
			});
		}

		hasRefused = true;
	};

	return {
		recordContact() {
			lastContactAtMs = timers.getNow();
			hasHadContact = true;
		},
		recordUnansweredHold(answer, {sentAtMs, timeoutMs}) {
			if (answer.type === 'notSent' && answer.isRefused === true) {
				recordRefusal();
			}

			if (lostAtMs !== undefined) {
				return;
			}

			// A call that ends before its timeout shows when the connection broke. Otherwise the minion may be gone since its last answer.
			lostAtMs = timers.getNow() - sentAtMs < timeoutMs ? timers.getNow() : lastContactAtMs;
			// What happened before this leader first heard of the minion is unknown.
			wasLostSuddenly = !hasHadContact || isSuddenLoss(listLostRuns(lostAtMs));
		},
		recordAnsweredHold() {
			lostAtMs = undefined;
			hasRefused = false;
		},
		getLostAtMs: () => lostAtMs,
		wasLostSuddenly: () => wasLostSuddenly,
		describe() {
			const atMs = lostAtMs ?? lastContactAtMs;
			return {
				atMs: Math.round(context.getSteadyTime() - (timers.getNow() - atMs)),
				isRefused: hasRefused,
				isShared: context.isLossShared(record.life, atMs),
				runs: selectLostRuns(listLostRuns(atMs)),
			};
		},
	};
}
