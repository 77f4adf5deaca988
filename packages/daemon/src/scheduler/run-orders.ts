/**
 * Sends start and stop orders to a minion and retries them until they are answered.
 */
import {waitFor} from '@samphiremill/common';
import {
	findStartLimit, findTask, type IncarnationId, type MinionRecord, type RunAssignment, type RunEnd, type RunEnding, type Task, type TaskId,
} from '@samphiremill/core';
import {orderRetryDelayMs, orderTimeoutMs} from './constants.js';
import type {MinionLease} from './minion-lease.js';
import type {TrackedRun} from './tracked-run.js';
import type {SessionContext} from './session-context.js';
import type {StartAttribution} from './start-attribution.js';
import type {
	FinishedEntry, MinionAnswer, MinionTarget, StartResult,
} from './types.js';

/** The parts of a minion session that the orders use. */
export type RunOrdersOptions = {
	readonly record: MinionRecord;
	readonly target: MinionTarget;
	readonly context: SessionContext;
	readonly lease: MinionLease;
	/** Whether the run is still assigned and has not ended. */
	readonly isCurrent: (trackedRun: TrackedRun) => boolean;
	/** Whether starts may be sent to the minion. A start also grants the lease. */
	readonly canSendStarts: () => boolean;
	readonly recordAnswer: (answer: MinionAnswer<unknown>, sentAtMs: number) => void;
	readonly attribution: Pick<StartAttribution, 'send'>;
	/** Whether the minion has to end a run that is not assigned to it before it may start the task. */
	readonly isBlocked: (task: Task) => boolean;
	readonly endRuns: (ends: readonly RunEnd[]) => Promise<boolean>;
	/** Handles an answer that says that another minion is at the address. */
	readonly handleOtherMinion: () => Promise<void>;
	/** Whether the minion is draining. */
	readonly isDraining: () => boolean;
	/** Records in the log that a start of the run may be under way, if one may. Resolves to whether the log has it. */
	readonly recordUnderWay: (trackedRun: TrackedRun) => Promise<boolean>;
	/** Records that a start got no answer. */
	readonly recordUnansweredStart: (assignment: RunAssignment) => void;
	/** Pauses assignments to the minion, since it currently accepts no work. */
	readonly pauseAssignments: () => void;
};

/** The start and stop orders of one session. */
export type RunOrders = {
	/** Sends one stop order. Resolves to whether the minion confirmed it. */
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
	readonly startRun: (trackedRun: TrackedRun) => Promise<void>;
	readonly stopRun: (trackedRun: TrackedRun) => Promise<void>;
};

/** Creates the end of a run, without a checkpoint. */
export function createRunEnd({task, run, life}: RunAssignment, ending: RunEnding): RunEnd {
	return {
		task, run, life, ending, checkpoint: '',
	};
}

/** Converts the ended runs that an incarnation lists to run ends. */
export function toRunEnds(entries: readonly FinishedEntry[], life: IncarnationId): readonly RunEnd[] {
	return entries.map(({task, run, ending, checkpoint}) => ({
		task, run, life, ending, checkpoint,
	}));
}

export function createRunOrders({
	record, target, context, lease, isCurrent, canSendStarts, isDraining, recordUnderWay, recordUnansweredStart, recordAnswer, attribution, isBlocked, endRuns, handleOtherMinion, pauseAssignments,
}: RunOrdersOptions): RunOrders {
	const {
		timers, minions, log, metrics, fencingToken,
	} = context;

	const sendStop = async (task: TaskId, run: number): Promise<boolean> => {
		if (!context.canAct()) {
			return false;
		}

		const sentAtMs = timers.getNow();
		const answer = await minions.stop({
			target, fencingToken, task, run, timeoutMs: orderTimeoutMs,
		});
		recordAnswer(answer, sentAtMs);
		if (answer.type === 'answered' && answer.value === 'fenced') {
			context.onFenced(record.life);
			return false;
		}

		return answer.type === 'answered';
	};

	const stopRun = async (trackedRun: TrackedRun) => {
		const {task, run} = trackedRun.assignment;
		if (trackedRun.phase === 'stopping') {
			return;
		}

		trackedRun.phase = 'stopping';
		while (isCurrent(trackedRun)) {
			if (await sendStop(task, run)) { // eslint-disable-line no-await-in-loop -- until it is confirmed
				trackedRun.stopAckedAtMs = timers.getNow();
				return;
			}

			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until it is confirmed
		}
	};

	const handleRefusal = async (trackedRun: TrackedRun, reason: string) => {
		context.onStartRefused(trackedRun.assignment.task);
		log.info(`minion ${record.minion} did not start ${trackedRun.assignment.task}: ${reason}`, {
			id: trackedRun.assignment.task, run: trackedRun.assignment.run, minion: record.minion, reason,
		});
		// An earlier copy of the order may still arrive, so the run is stopped on the minion first.
		if (trackedRun.mayStartLate) {
			trackedRun.endingIfUnlisted = 'refused';
			void stopRun(trackedRun);
			return;
		}

		// Nothing else ends a run that the minion does not list.
		while (isCurrent(trackedRun) && !await endRuns([createRunEnd(trackedRun.assignment, 'refused')])) { // eslint-disable-line no-await-in-loop -- until it is committed
			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until it is committed
		}
	};

	// The minion may refuse each start of the task while another one would accept it.
	const avoidMinion = (task: TaskId) => {
		context.recordFailure(task, record.life);
	};

	// The answer does not say so; the clock in it has started anew since the last listing.
	const logForeignAnswer = ({assignment: {task, run}}: TrackedRun) => {
		if (lease.hasClockRestarted()) {
			log.info(`the start of ${task}#${run} was answered by a later incarnation of minion ${record.minion}`, {
				id: task, run, minion: record.minion, life: record.life,
			});
		}
	};

	const recordNoAnswer = (trackedRun: TrackedRun, sentAtMs: number) => {
		const {task, run} = trackedRun.assignment;
		trackedRun.mayStartLate = true;
		trackedRun.unansweredAtMs = timers.getNow();
		trackedRun.unansweredCount += 1;
		metrics.count('starts_unanswered_total');
		log.info(`the start of ${task}#${run} got no answer; minion ${record.minion} may still carry it out`, {
			id: task,
			run,
			minion: record.minion,
			life: record.life,
			unansweredCount: trackedRun.unansweredCount,
			waitedMs: Math.round(timers.getNow() - sentAtMs),
			isListed: trackedRun.listedAtMs !== undefined,
		});
		recordUnansweredStart(trackedRun.assignment);
	};

	const handleStartResult = async (trackedRun: TrackedRun, result: StartResult): Promise<'over' | 'again'> => {
		if (result.type === 'started') {
			trackedRun.phase = trackedRun.phase === 'stopping' ? 'stopping' : 'running';
			trackedRun.startedAtMs ??= timers.getNow();
			// An answer to a start does not say which incarnation it is from; its clock does.
			trackedRun.isStartCertain ||= !trackedRun.mayStartLate && !lease.hasClockRestarted();
			logForeignAnswer(trackedRun);
			context.onRunStarted(trackedRun.assignment.task);
			context.onStartConfirmed(trackedRun.assignment.task);
			trackedRun.listingExpectedFromMs ??= timers.getNow();
			return 'over';
		}

		const {task} = trackedRun.assignment;
		switch (result.reason) {
			case 'fenced': {
				context.onFenced(record.life);
				// The answer may be false and the run may have started.
				trackedRun.mayStartLate = true;
				await handleRefusal(trackedRun, 'it follows a newer leader');
				return 'over';
			}

			case 'oldRun': {
				// The run started and ended before. The listing shows how it ended.
				trackedRun.phase = 'running';
				trackedRun.listingExpectedFromMs ??= timers.getNow();
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

				await handleRefusal(trackedRun, 'its ticket is not valid');
				return 'over';
			}

			case 'noRoom': {
				pauseAssignments();
				await handleRefusal(trackedRun, 'it has no free capacity');
				return 'over';
			}

			case 'other': {
				avoidMinion(task);
				await handleRefusal(trackedRun, 'it refused the order');
				return 'over';
			}
		}
	};

	const sendStart = async (trackedRun: TrackedRun): Promise<'over' | 'again'> => {
		if (isDraining()) {
			await handleRefusal(trackedRun, 'it is draining');
			return 'over';
		}

		const {task: id, run} = trackedRun.assignment;
		const task = findTask(context.getLedger(), id);
		// A task that another run has completed is stopped by the leader.
		if (task !== undefined && (task.isDone || isBlocked(task))) {
			return 'again';
		}

		const limit = task && findStartLimit(context.getLedger(), task, record.life);
		if (limit !== undefined) {
			await handleRefusal(trackedRun, limit === 'capacity' ? 'its capacity has shrunk' : 'the maximum of its team has become smaller');
			return 'over';
		}

		// Once two may be under way, a listing no longer tells whether one still is.
		if (!canSendStarts() || !await recordUnderWay(trackedRun) || !isCurrent(trackedRun)) {
			return 'again';
		}

		const deadlineMs = canSendStarts() && context.canAct() ? lease.grant() : undefined;
		if (task === undefined || deadlineMs === undefined) {
			return 'again';
		}

		const ticket = context.getTicket(task, record.life);
		// An earlier leader's tickets are not known here, and a minion refuses a start without one.
		if (task.job.advice !== undefined && ticket === undefined) {
			await handleRefusal(trackedRun, 'it has no ticket for it');
			return 'over';
		}

		const sentAtMs = timers.getNow();
		const answer = await attribution.send(async () => minions.start({
			target,
			fencingToken,
			task: id,
			run,
			payload: task.job.specification.payload,
			deadlineMs,
			checkpoint: task.checkpoint,
			ticket,
			timeoutMs: orderTimeoutMs,
		}));
		recordAnswer(answer, sentAtMs);
		switch (answer.type) {
			case 'answered': {
				return handleStartResult(trackedRun, answer.value);
			}

			case 'noAnswer': {
				recordNoAnswer(trackedRun, sentAtMs);
				return 'again';
			}

			case 'notSent': {
				return 'again';
			}

			case 'otherLife': {
				await handleOtherMinion();
				return 'again';
			}

			case 'unhealthy': {
				pauseAssignments();
				await handleRefusal(trackedRun, 'it is unhealthy');
				return 'over';
			}

			case 'invalid': {
				avoidMinion(id);
				log.error(`minion ${record.minion} rejected the start of ${id} as malformed: ${answer.message}`, {id, run, minion: record.minion});
				await handleRefusal(trackedRun, answer.message);
				return 'over';
			}
		}
	};

	const startRun = async (trackedRun: TrackedRun) => {
		trackedRun.phase = 'starting';
		while (isCurrent(trackedRun) && trackedRun.phase === 'starting') {
			if (trackedRun.isStopRequested) {
				await stopRun(trackedRun); // eslint-disable-line no-await-in-loop -- ends the loop
				return;
			}

			const outcome = await sendStart(trackedRun); // eslint-disable-line no-await-in-loop -- until it is answered
			if (outcome === 'over') {
				break;
			}

			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until it is answered
		}

		if (trackedRun.isStopRequested && isCurrent(trackedRun)) {
			await stopRun(trackedRun);
		}
	};

	return {sendStop, startRun, stopRun};
}
