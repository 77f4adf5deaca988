/**
 * The checks of stops: what the scheduler may stop, and what it has to.
 */
import type {TaskId} from '@samphiremill/core';
import {
	findStep, getTask, listRuns, listStepTasks,
} from './fleet-view.js';
import type {CheckContext, Handlers} from './handlers.js';
import {parseTaskName} from './task-name.js';

/**
 * Creates the handlers of stops and of the tasks at work.
 *
 * @param context - The view and the surroundings.
 * @returns The handlers.
 */
export function createStopHandlers({view, limits, getNow, report}: CheckContext): Handlers<'stopOrdered' | 'tasksAtWork'> {
	const reportedRuns = new Set<string>();

	const listUnavailable = (task: TaskId) => listStepTasks(view, parseTaskName(task)).filter(other => {
		const {isStopped, lastAtWorkMs} = getTask(view, other);
		return other !== task && (isStopped || getNow() - lastAtWorkMs > limits.absenceNoticeMs);
	});

	const getMaximumAttempts = () => Math.max(...view.configurations.flatMap(({configuration}) => configuration.queues.map(({maximumAttempts}) => maximumAttempts)));

	// A job that is cancelled or has failed stops its tasks whatever their budget.
	const mayBeOver = (task: TaskId) => {
		const {job} = parseTaskName(task);
		const maximumAttempts = getMaximumAttempts();
		return view.jobs.get(job)?.isCancelSent === true || [...view.tasks].some(([id, {failures, crashCount}]) => parseTaskName(id).job === job
			&& (crashCount > 1 || (failures >= maximumAttempts && findStep(view, id)?.isLasting === false)));
	};

	const checkCancelledRuns = () => {
		const nowMs = getNow();
		const calmMs = limits.cancelMs + limits.stopMs + limits.contactMs;
		for (const {task, run, startedAtMs, minion} of listRuns(view)) {
			const cancelledAtMs = view.jobs.get(parseTaskName(task).job)?.cancelledAtMs ?? Number.POSITIVE_INFINITY;
			const dueAtMs = Math.max(cancelledAtMs + limits.cancelMs, startedAtMs + limits.contactMs) + limits.stopMs;
			const name = `${task}#${run}`;
			if (nowMs > dueAtMs && nowMs - view.faultUntilMs > calmMs && !reportedRuns.has(name)) {
				reportedRuns.add(name);
				report('runsOn', `${name} on ${minion.record.minion}, cancelled for ${Math.round(nowMs - cancelledAtMs)} ms`);
			}
		}
	};

	return {
		stopOrdered({life, task, isAtWork}) {
			const step = findStep(view, task);
			const budget = step?.isLasting ? step.disruptionBudget : undefined;
			if (budget === undefined || !isAtWork || mayBeOver(task)) {
				return;
			}

			const unavailable = listUnavailable(task);
			const minion = view.minions.get(life);
			// A minion that leaves ends its tasks in any case.
			if (unavailable.length >= budget && minion !== undefined && !minion.isLeaving) {
				report('budget', `${task} is stopped on ${minion.record.minion} while ${unavailable.join(', ')} are unavailable`);
			}

			getTask(view, task).isStopped = true;
		},
		tasksAtWork({tasks}) {
			for (const id of tasks) {
				const task = getTask(view, id);
				task.lastAtWorkMs = getNow();
				task.isStopped = false;
			}

			checkCancelledRuns();
		},
	};
}
