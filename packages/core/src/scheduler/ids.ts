import {toBrand, type JobId, type MinionId} from '@samphiremill/common';
import type {IncarnationId, TaskId} from './types.js';

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
	const jobEnd = id.indexOf('.');
	const occurrenceEnd = id.indexOf('.', jobEnd + 1);
	const stepEnd = id.indexOf('.', occurrenceEnd + 1);
	if (jobEnd === -1 || occurrenceEnd === -1 || stepEnd === -1) {
		return undefined;
	}

	const occurrence = Number(id.slice(jobEnd + 1, occurrenceEnd));
	const step = Number(id.slice(occurrenceEnd + 1, stepEnd));
	const index = Number(id.slice(stepEnd + 1));
	const isWhole = Number.isSafeInteger(occurrence) && Number.isSafeInteger(step) && Number.isSafeInteger(index);
	return isWhole
		? {
			job: toBrand<JobId>(id.slice(0, jobEnd)), occurrence, step, index,
		}
		: undefined;
}

/**
 * @param minion - The minion's id, which it may keep over restarts.
 * @param bornAtMs - The Unix time of the start of this life.
 * @returns The id of the life.
 */
export function createIncarnationId(minion: MinionId, bornAtMs: number): IncarnationId {
	return toBrand<IncarnationId>(`${minion}@${bornAtMs}`);
}
