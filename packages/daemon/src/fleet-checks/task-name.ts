/**
 * The names of tasks, `JOB.OCCURRENCE.STEP.INDEX`, read without the scheduler's code.
 */
import {toBrand, type JobId} from '@samphiremill/common';
import type {TaskId} from '@samphiremill/core';

/** The parts of a task's name. */
export type TaskName = {
	readonly job: JobId;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/**
 * Reads a task's name.
 *
 * @param task - The name.
 * @returns Its parts.
 */
export function parseTaskName(task: TaskId): TaskName {
	const [job = '', occurrence, step, index] = task.split('.');
	return {
		job: toBrand<JobId>(job), occurrence: Number(occurrence), step: Number(step), index: Number(index),
	};
}

/**
 * Writes a task's name.
 *
 * @param name - The parts.
 * @returns The name.
 */
export function createTaskName({job, occurrence, step, index}: TaskName): TaskId {
	return toBrand<TaskId>(`${job}.${occurrence}.${step}.${index}`);
}

/**
 * Returns the name of the step of an occurrence that a task belongs to.
 *
 * @param task - The task's name.
 * @returns `JOB.OCCURRENCE.STEP`.
 */
export function getStepName(task: TaskId): string {
	return task.slice(0, task.lastIndexOf('.'));
}
