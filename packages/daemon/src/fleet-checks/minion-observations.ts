/**
 * What minions see of themselves: their incarnations, leases, and the starts and ends of runs.
 */
import type {IncarnationId, TaskId} from '@samphiremill/core';
import {crashBudget} from './constants.js';
import {
	findStep, getTask, type EndView, type MinionView,
} from './fleet-view.js';
import type {CheckContext, Handlers, ObservationOf} from './handlers.js';
import {startChecks} from './start-checks.js';
import {parseTaskName} from './task-name.js';
import type {ObservedEnd, ObservedStart} from './types.js';

type MinionObservation
	= | 'minionUp' | 'minionDown' | 'minionLeaving' | 'drainingConfirmed' | 'capacityChanged' | 'leaseLapsed' | 'endsListed' | 'endsAcknowledged'
		| 'runStarted' | 'runEnded' | 'checkpointSaved' | 'minionCrashedUnder';

/**
 * Creates the handlers of what minions see.
 *
 * @param context - The view and the surroundings.
 * @returns The handlers.
 */
export function createMinionHandlers({view, limits, getNow, getWallClock, report}: CheckContext): Handlers<MinionObservation> {
	const changeMinion = (life: IncarnationId, change: (minion: MinionView) => void) => {
		const minion = view.minions.get(life);
		if (minion !== undefined) {
			change(minion);
		}
	};

	const checkStart = (start: ObservedStart, minion: MinionView) => {
		const {task: id, run} = start;
		const job = view.jobs.get(parseTaskName(id).job);
		const step = findStep(view, id);
		if (job === undefined || step === undefined) {
			report('unasked', `${id} run ${run} on ${minion.record.minion}`);
			return;
		}

		const context = {
			view, nowMs: getNow(), wallClockMs: getWallClock(), limits, start, minion, job, step, task: getTask(view, id),
		};
		for (const [rule, check] of startChecks) {
			const finding = check(context);
			if (finding !== undefined) {
				report(rule, `${id} run ${run} on ${minion.record.minion}: ${finding}`);
			}
		}
	};

	// A gang member may be alone after a fault, and once its job is cancelled.
	const checkGangEnd = ({task, run, ending}: ObservedEnd, {minion, startedAtMs}: {readonly minion: MinionView; readonly startedAtMs: number}) => {
		const isCancelled = view.jobs.get(parseTaskName(task).job)?.isCancelSent === true;
		if (ending === 'gangIncomplete' && !isCancelled && view.faultUntilMs < startedAtMs - limits.contactMs) {
			const mayBeCopy = findStep(view, task)?.allowsCopies === true;
			report('gangAlone', `${task} run ${run} on ${minion.record.minion}${mayBeCopy ? ', which may be a copy' : ''}`);
		}
	};

	const confirmDone = (task: TaskId, {minion, atMs}: {readonly minion: MinionView; readonly atMs: number}) => {
		const known = getTask(view, task);
		known.doneAtMs ??= getNow();
		if (known.startedAtMs > atMs && !findStep(view, task)?.allowsCopies) {
			report('afterDone', `${task} was started after its run on ${minion.record.minion} had ended; that end is confirmed now`);
		}
	};

	const confirmEnd = (minion: MinionView, {task, ending, atMs}: EndView) => {
		if (ending === 'done') {
			confirmDone(task, {minion, atMs});
		} else if (ending === 'failed') {
			const known = getTask(view, task);
			known.failures += 1;
			known.failedAtMs = getNow();
		}
	};

	const recordEnd = (minion: MinionView, end: ObservedEnd) => {
		const run = minion.runs.get(end.task);
		minion.runs.delete(end.task);
		minion.lastEndNumber = Math.max(minion.lastEndNumber, end.number);
		minion.ends = [...minion.ends, {...end, atMs: getNow()}];
		if (end.checkpoint !== '') {
			getTask(view, end.task).checkpoints.add(end.checkpoint);
		}

		if (run !== undefined) {
			checkGangEnd(end, {minion, startedAtMs: run.startedAtMs});
		}
	};

	const recordStart = (minion: MinionView, start: ObservationOf<'runStarted'>) => {
		const task = getTask(view, start.task);
		task.startsAfterCrashes += task.crashCount >= crashBudget ? 1 : 0;
		checkStart(start, minion);
		task.startedAtMs = getNow();
		minion.runs.set(start.task, {
			task: start.task, run: start.run, checkpoint: start.checkpoint, startedAtMs: getNow(),
		});
	};

	return {
		minionUp({record}) {
			view.minions.set(record.life, {
				record,
				upSinceMs: getNow(),
				earlierCapacities: [],
				runs: new Map(),
				ends: [],
				lastEndNumber: 0,
				lapsedUpTo: 0,
				isLeaving: false,
				drainingSinceMs: undefined,
			});
		},
		minionDown({life}) {
			view.minions.delete(life);
		},
		minionLeaving({life}) {
			changeMinion(life, minion => {
				minion.isLeaving = true;
			});
		},
		drainingConfirmed({life}) {
			changeMinion(life, minion => {
				minion.drainingSinceMs ??= getNow();
			});
		},
		capacityChanged({life, capacity, earlierCountsUntilMs}) {
			changeMinion(life, minion => {
				minion.earlierCapacities = [...minion.earlierCapacities, {capacity: minion.record.capacity, untilMs: earlierCountsUntilMs}];
				minion.record = {...minion.record, capacity};
			});
		},
		leaseLapsed({life}) {
			changeMinion(life, minion => {
				minion.lapsedUpTo = minion.lastEndNumber;
			});
		},
		endsListed({life}) {
			changeMinion(life, ({ends}) => {
				for (const {task} of ends.filter(({ending}) => ending === 'done')) {
					getTask(view, task).isListedDone = true;
				}
			});
		},
		endsAcknowledged({life, lastSeen}) {
			changeMinion(life, minion => {
				// An end from before the lease lapsed is no longer valid.
				for (const end of minion.ends.filter(({number}) => number <= lastSeen && number > minion.lapsedUpTo)) {
					confirmEnd(minion, end);
				}

				minion.ends = minion.ends.filter(({number}) => number > lastSeen);
			});
		},
		runStarted(start) {
			changeMinion(start.life, minion => {
				recordStart(minion, start);
			});
		},
		runEnded(end) {
			changeMinion(end.life, minion => {
				recordEnd(minion, end);
			});
		},
		checkpointSaved({task, checkpoint}) {
			getTask(view, task).checkpoints.add(checkpoint);
		},
		minionCrashedUnder({task}) {
			getTask(view, task).crashCount += 1;
		},
	};
}
