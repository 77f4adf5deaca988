/**
 * Orders to a minion to start and stop runs, repeated until they are answered.
 */
import {waitFor} from '@samphiremill/common';
import {
	findTask, type IncarnationId, type MinionRecord, type RunAssignment, type RunEnd, type RunEnding, type TaskId,
} from '@samphiremill/core';
import {orderRetryDelayMs, orderTimeoutMs} from './constants.js';
import type {MinionLease} from './minion-lease.js';
import type {TrackedRun} from './run-control.js';
import type {SessionContext} from './session-context.js';
import type {
	FinishedEntry, MinionAnswer, MinionTarget, StartResult,
} from './types.js';

/** What the orders need of the session. */
export type RunOrdersOptions = {
	readonly record: MinionRecord;
	readonly target: MinionTarget;
	readonly context: SessionContext;
	readonly lease: MinionLease;
	/** Whether the run is still assigned and not ended. */
	readonly isCurrent: (control: TrackedRun) => boolean;
	/** Whether the minion may be sent starts, which grant it its lease. */
	readonly canSendStarts: () => boolean;
	readonly recordAnswer: (answer: MinionAnswer<unknown>) => void;
	readonly endRuns: (ends: readonly RunEnd[]) => Promise<boolean>;
	/** The minion began another life. */
	readonly removeIncarnation: (reason: string) => Promise<void>;
	/** Whether the minion will leave. */
	readonly isDraining: () => boolean;
	/** A start got no answer. */
	readonly recordUnansweredStart: (assignment: RunAssignment) => void;
	/** The minion takes no work at this moment. */
	readonly pauseAssignments: () => void;
};

/** The orders of one session. */
export type RunOrders = {
	/** Resolves to whether the stop was confirmed. */
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
	readonly startRun: (control: TrackedRun) => Promise<void>;
	readonly stopRun: (control: TrackedRun) => Promise<void>;
};

/**
 * @param assignment - A run.
 * @param ending - How it ended.
 * @returns Its end, with nothing saved.
 */
export function createRunEnd({task, run, life}: RunAssignment, ending: RunEnding): RunEnd {
	return {
		task, run, life, ending, checkpoint: '',
	};
}

/**
 * @param entries - Ends as a minion lists them.
 * @param life - Its life.
 * @returns The ends.
 */
export function toRunEnds(entries: readonly FinishedEntry[], life: IncarnationId): readonly RunEnd[] {
	return entries.map(({task, run, ending, checkpoint}) => ({
		task, run, life, ending, checkpoint,
	}));
}

/**
 * @param options - What the orders need.
 * @returns The orders.
 */
export function createRunOrders({record, target, context, lease, isCurrent, canSendStarts: mayStart, isDraining, recordUnansweredStart: noteUnanswered, recordAnswer: noteHeard, endRuns, removeIncarnation: leave, pauseAssignments: noteRefusal}: RunOrdersOptions): RunOrders {
	const {timers, minions, log, fencingToken} = context;

	const sendStop = async (task: TaskId, run: number): Promise<boolean> => {
		if (!context.canAct()) {
			return false;
		}

		const answer = await minions.stop({
			target, fencingToken, task, run, timeoutMs: orderTimeoutMs,
		});
		noteHeard(answer);
		if (answer.type === 'answered' && answer.value === 'fenced') {
			context.onFenced();
			return false;
		}

		return answer.type === 'answered';
	};

	const stopControl = async (control: TrackedRun) => {
		const {task, run} = control.assignment;
		if (control.phase === 'stopping') {
			return;
		}

		control.phase = 'stopping';
		while (isCurrent(control)) {
			if (await sendStop(task, run)) { // eslint-disable-line no-await-in-loop -- until it is confirmed
				control.stopAckedAtMs = timers.getNow();
				return;
			}

			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until it is confirmed
		}
	};

	const handleRefusal = async (control: TrackedRun, reason: string) => {
		log.info(`minion ${record.minion} did not start ${control.assignment.task}: ${reason}`, {
			id: control.assignment.task, run: control.assignment.run, minion: record.minion, reason,
		});
		// An earlier copy of the order may still arrive, so the run is closed there first.
		if (control.mayStartLate) {
			control.endingIfUnlisted = 'refused';
			void stopControl(control);
			return;
		}

		await endRuns([createRunEnd(control.assignment, 'refused')]);
	};

	const handleStartResult = async (control: TrackedRun, result: StartResult): Promise<'over' | 'again'> => {
		if (result.type === 'started') {
			control.phase = control.phase === 'stopping' ? 'stopping' : 'running';
			control.startedAtMs ??= timers.getNow();
			control.listingExpectedFromMs ??= timers.getNow();
			return 'over';
		}

		const {task} = control.assignment;
		switch (result.reason) {
			case 'fenced': {
				context.onFenced();
				return 'over';
			}

			case 'oldRun': {
				// It ran and ended before; the listing says how.
				control.phase = 'running';
				control.listingExpectedFromMs ??= timers.getNow();
				return 'over';
			}

			case 'lateDeadline': {
				return 'again';
			}

			case 'badTicket': {
				const known = findTask(context.getLedger(), task);
				if (known !== undefined) {
					context.dropTicket(known, record.life);
				}

				await handleRefusal(control, 'its ticket does not hold');
				return 'over';
			}

			case 'noRoom': {
				noteRefusal();
				await handleRefusal(control, 'it has no room');
				return 'over';
			}

			case 'other': {
				await handleRefusal(control, 'it refused the order');
				return 'over';
			}
		}
	};

	const sendStart = async (control: TrackedRun): Promise<'over' | 'again'> => {
		if (isDraining()) {
			await handleRefusal(control, 'it will leave');
			return 'over';
		}

		const {task: id, run} = control.assignment;
		const task = findTask(context.getLedger(), id);
		const deadlineMs = mayStart() && context.canAct() ? lease.grant() : undefined;
		if (task === undefined || deadlineMs === undefined) {
			return 'again';
		}

		const ticket = context.getTicket(task, record.life);
		const answer = await minions.start({
			target,
			fencingToken,
			task: id,
			run,
			payload: task.job.specification.payload,
			deadlineMs,
			checkpoint: task.checkpoint,
			ticket,
			timeoutMs: orderTimeoutMs,
		});
		noteHeard(answer);
		switch (answer.type) {
			case 'answered': {
				return handleStartResult(control, answer.value);
			}

			case 'noAnswer': {
				control.mayStartLate = true;
				noteUnanswered(control.assignment);
				return 'again';
			}

			case 'notSent': {
				return 'again';
			}

			case 'otherLife': {
				await leave('another life answers at its address');
				return 'over';
			}

			case 'unhealthy': {
				noteRefusal();
				await handleRefusal(control, 'it is unhealthy');
				return 'over';
			}

			case 'invalid': {
				log.error(`minion ${record.minion} did not understand the start of ${id}: ${answer.message}`, {id, run, minion: record.minion});
				await handleRefusal(control, answer.message);
				return 'over';
			}
		}
	};

	const startControl = async (control: TrackedRun) => {
		control.phase = 'starting';
		while (isCurrent(control) && control.phase === 'starting') {
			if (control.isStopRequested) {
				await stopControl(control); // eslint-disable-line no-await-in-loop -- ends the loop
				return;
			}

			const outcome = await sendStart(control); // eslint-disable-line no-await-in-loop -- until it is answered
			if (outcome === 'over') {
				break;
			}

			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until it is answered
		}

		if (control.isStopRequested && isCurrent(control)) {
			await stopControl(control);
		}
	};

	return {sendStop, startRun: startControl, stopRun: stopControl};
}
