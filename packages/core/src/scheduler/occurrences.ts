/**
 * The occurrences of a job. Those of a schedule hold tasks only from the time when they are due, or had a run, until they are done:
 * before and after it they cost next to nothing.
 */
import {countDoneOccurrences, isOccurrenceDone} from './done-occurrences.js';
import {createTaskId} from './ids.js';
import type {
	Job, JobSpecification, Occurrence, StepProgress, Task,
} from './types.js';

const createOccurrence = (job: Job, occurrence: number): Occurrence => ({
	steps: job.specification.steps.map(({count}, step) => ({
		doneCount: 0,
		idleCount: count,
		tasks: Array.from({length: count}, (_, index): Task => ({
			id: createTaskId({
				job: job.id, occurrence, step, index,
			}),
			job,
			occurrence,
			step,
			index,
			runs: [],
			lastRunNumber: 0,
			lapsedRuns: [],
			failures: 0,
			losses: [],
			checkpoint: '',
			isDone: false,
		})),
	})),
});

/** The specification of a job of which only the end is still known. */
export const emptySpecification: JobSpecification = {payload: '', steps: [], schedule: undefined};

/** Returns how many occurrences a job has in all. */
export function getOccurrenceCount({schedule}: JobSpecification): number {
	return schedule?.count ?? 1;
}

/** Returns how many tasks an occurrence of a job has. */
export function countOccurrenceTasks({steps}: JobSpecification): number {
	let count = 0;
	for (const step of steps) {
		count += step.count;
	}

	return count;
}

/**
 * Returns an occurrence with its tasks, and creates them if it has none yet. Whether it has them makes no difference to what may
 * happen to it, so each host may create them at another time.
 *
 * @returns `undefined` if the occurrence is done, or the job has none of this number.
 */
export function getOrCreateOccurrence(job: Job, occurrence: number): Occurrence | undefined {
	const known = job.occurrences.get(occurrence);
	const isKept = Number.isInteger(occurrence) && occurrence >= 0 && occurrence < getOccurrenceCount(job.specification) && !isOccurrenceDone(job.doneOccurrences, occurrence);
	if (known !== undefined || !isKept) {
		return known;
	}

	const created = createOccurrence(job, occurrence);
	job.occurrences.set(occurrence, created);
	return created;
}

/** Returns whether all tasks of a step are done. */
export function isStepDone({doneCount, tasks}: StepProgress): boolean {
	return doneCount === tasks.length;
}

const areStepsDone = ({steps}: Occurrence) => steps.every(progress => isStepDone(progress));

/** Returns whether all tasks of an occurrence are done and none of them has a run. */
export function isOccurrenceOver(occurrence: Occurrence): boolean {
	return areStepsDone(occurrence) && occurrence.steps.every(({tasks}) => tasks.every(({runs}) => runs.length === 0));
}

/** Returns whether all occurrences of a job are done. */
export function isJobDone({specification, occurrences, doneOccurrences}: Job): boolean {
	let doneCount = countDoneOccurrences(doneOccurrences);
	for (const occurrence of occurrences.values()) {
		if (!areStepsDone(occurrence)) {
			return false;
		}

		doneCount += 1;
	}

	return doneCount === getOccurrenceCount(specification);
}
