/**
 * The starts that may still be under way, as the leader deals with them: the log has them before a run of their task may begin elsewhere, the
 * next run is held for their minion for a while, and they are forgotten once they must have arrived.
 */
import type {MinionId, TimerService} from '@samphiremill/common';
import {
	createRunKey, findLatestStartUnderWay, findStartUnderWay, getStep,
	type IncarnationId, type Ledger, type LedgerCommand, type RunKey, type StartUnderWay, type Task,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {
	answeredStartHoldbackMs, arrivedStartsPeriodMs, maximumStartsPerCommand, silentStartHoldbackMs, startArrivalMs,
} from './constants.js';
import {listForLog} from './logged-list.js';

/** A start that got no answer. */
export type UnansweredStart = StartUnderWay & {
	/** When it was last sent, on the monotonic clock. */
	readonly sentAtMs: number;
};

/** The incarnation of a minion that the leader has a session with. */
export type LatestIncarnation = {
	readonly life: IncarnationId;
	/** Whether it answers. If it does, it refuses what is under way for earlier ones. */
	readonly isAnswering: boolean;
};

/** Dependencies of one leader. */
export type StartsUnderWayOptions = {
	readonly term: number;
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly getLedger: () => Ledger;
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	/** Whether the task has failed on an incarnation, or was refused by it. */
	readonly hasFailedOn: (task: Task, life: IncarnationId) => boolean;
	/** Returns the latest incarnation of a minion. */
	readonly getLatest: (minion: MinionId) => LatestIncarnation | undefined;
};

/** The starts that may be under way, for one leader. */
export type StartsUnderWay = {
	/** Records starts in the log. Resolves to whether it has all of them. */
	readonly record: (starts: readonly UnansweredStart[]) => Promise<boolean>;
	/** Notes when another copy of a start was sent that the log has already. */
	readonly renew: (start: UnansweredStart) => void;
	/** Returns the minion that a waiting task has to start on; `undefined` if any will do. */
	readonly getAwaitedMinion: (task: Task) => MinionId | undefined;
	/** Whether any start may be under way. */
	readonly hasAny: () => boolean;
	/** Has the log forget the starts that must have arrived by now. */
	readonly forgetArrived: () => void;
};

/** Creates the view of a new leader. It does not know when the starts of its predecessors were sent, so it counts from now. */
export function createStartsUnderWay({term, timers, log, getLedger, commit, hasFailedOn, getLatest}: StartsUnderWayOptions): StartsUnderWay {
	const sent = new Map<RunKey, UnansweredStart>();
	let isForgetting = false;
	let forgottenAtMs = timers.getNow();

	const listAll = () => [...getLedger().startsUnderWay.values()].flat();

	const getSentAtMs = (start: StartUnderWay): number => {
		const key = createRunKey(start);
		const known = sent.get(key) ?? {...start, sentAtMs: timers.getNow()};
		sent.set(key, known);
		return known.sentAtMs;
	};

	for (const start of listAll()) {
		getSentAtMs(start);
	}

	const getAgeMs = (start: StartUnderWay) => timers.getNow() - getSentAtMs(start);

	const getHoldbackMs = (task: Task, {isOvertaken = false}: StartUnderWay, latest: LatestIncarnation | undefined): number => {
		// A minion that answers refuses starts for earlier incarnations until it starts again, and may be full or of no use.
		if (latest?.isAnswering === true) {
			return answeredStartHoldbackMs;
		}

		return getStep(task).isLasting && !isOvertaken ? silentStartHoldbackMs : startArrivalMs;
	};

	const isHeldBack = (task: Task, start: StartUnderWay): boolean => {
		const latest = getLatest(start.minion);
		// Where the task has failed, or was refused, it would fail again.
		const hasFailed = hasFailedOn(task, start.life) || (latest !== undefined && hasFailedOn(task, latest.life));
		return !hasFailed && getAgeMs(start) < getHoldbackMs(task, start, latest);
	};

	const recordPart = async (starts: readonly StartUnderWay[]): Promise<boolean> => {
		const isCommitted = await commit({
			type: 'starts/underWay', term, starts, arrived: [],
		});
		log.info(`${starts.length} starts may be under way: ${isCommitted ? 'recorded' : 'outcome unknown'}`, {
			starts: listForLog(starts).map(({task, run, minion}) => `${task}#${run}@${minion}`), isCommitted,
		});
		return isCommitted;
	};

	const forget = async (arrived: readonly StartUnderWay[]) => {
		isForgetting = true;
		await commit({
			type: 'starts/underWay', term, starts: [], arrived: arrived.map(({task, run}) => ({task, run})),
		});
		isForgetting = false;
	};

	// Those that the log is still to record are kept.
	const forgetTimes = () => {
		for (const [key, start] of sent) {
			if (timers.getNow() - start.sentAtMs >= startArrivalMs && findStartUnderWay(getLedger(), start) === undefined) {
				sent.delete(key);
			}
		}
	};

	return {
		async record(starts) {
			const byRun = new Map(starts.map(start => [createRunKey(start), start]));
			const unknown = [...byRun.values()].filter(start => findStartUnderWay(getLedger(), start) === undefined);
			for (const [key, start] of byRun) {
				sent.set(key, start);
			}

			for (let first = 0; first < unknown.length; first += maximumStartsPerCommand) {
				const part = unknown.slice(first, first + maximumStartsPerCommand).map(({sentAtMs: _, ...start}) => start);
				if (!await recordPart(part)) { // eslint-disable-line no-await-in-loop -- one part after the other
					return false;
				}
			}

			return true;
		},
		renew(start) {
			sent.set(createRunKey(start), start);
		},
		getAwaitedMinion(task) {
			const start = findLatestStartUnderWay(getLedger(), task.id);
			return start === undefined || getStep(task).allowsCopies || !isHeldBack(task, start) ? undefined : start.minion;
		},
		hasAny: () => getLedger().startsUnderWay.size > 0,
		forgetArrived() {
			if (getLedger().startsUnderWay.size + sent.size === 0 || isForgetting || timers.getNow() - forgottenAtMs < arrivedStartsPeriodMs) {
				return;
			}

			forgottenAtMs = timers.getNow();
			forgetTimes();
			const arrived = listAll().filter(start => getAgeMs(start) >= startArrivalMs).slice(0, maximumStartsPerCommand);
			if (arrived.length > 0) {
				void forget(arrived);
			}
		},
	};
}
