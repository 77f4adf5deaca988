import {toBrand, type JobId, type MinionId} from '@samphiremill/common';
import type {IncarnationId, TaskId} from './types.js';

/** The parts of a task id. */
export type TaskIdParts = {
	readonly job: JobId;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/** Builds a task id of the form `JOB.OCCURRENCE.STEP.INDEX`. */
export function createTaskId({job, occurrence, step, index}: TaskIdParts): TaskId {
	return toBrand<TaskId>(`${job}.${occurrence}.${step}.${index}`);
}

/** Splits a task id into its parts. Returns `undefined` if the text is not a task id. */
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
 * Builds the id of an incarnation from the minion's id, which may stay the same over restarts, and its start.
 *
 * @param bornAtMs - The start of the incarnation, as Unix time in milliseconds.
 */
export function createIncarnationId(minion: MinionId, bornAtMs: number): IncarnationId {
	return toBrand<IncarnationId>(`${minion}@${bornAtMs}`);
}

/** Returns whether the id is one of an incarnation of the minion. */
export function isIncarnationOf(life: IncarnationId, minion: MinionId): boolean {
	return life.slice(0, life.lastIndexOf('@')) === minion;
}
