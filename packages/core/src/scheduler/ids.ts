import {toBrand, type JobId, type MinionId} from '@samphiremill/common';
import type {LifeId, TaskId} from './types.js';

/** The parts of a task's id. */
export type TaskIdParts = {
	readonly job: JobId;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/**
 * @param parts - The job and the place in it.
 * @returns The task's id, in the form `JOB.OCCURRENCE.STEP.INDEX`.
 */
export function createTaskId({job, occurrence, step, index}: TaskIdParts): TaskId {
	return toBrand<TaskId>(`${job}.${occurrence}.${step}.${index}`);
}

/**
 * @param id - A task's id.
 * @returns Its parts, or nothing if the text has another form.
 */
export function parseTaskId(id: string): TaskIdParts | undefined {
	const [job, ...numbers] = id.split('.');
	const [occurrence, step, index] = numbers.map(Number);
	const isWhole = [occurrence, step, index].every(number => Number.isSafeInteger(number));
	return job === undefined || numbers.length !== 3 || !isWhole
		? undefined
		: {
			job: toBrand<JobId>(job), occurrence: occurrence ?? 0, step: step ?? 0, index: index ?? 0,
		};
}

/**
 * @param minion - The minion's id, which it may keep over restarts.
 * @param bornAtMs - The Unix time of the start of this life.
 * @returns The id of the life.
 */
export function createLifeId(minion: MinionId, bornAtMs: number): LifeId {
	return toBrand<LifeId>(`${minion}@${bornAtMs}`);
}
