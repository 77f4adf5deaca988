/**
 * How much memory the jobs of a ledger take, so that more are refused instead of ending all control hosts. An estimate: it is derived
 * from the commands alone, so that all hosts come to the same result.
 */
import {countOccurrenceTasks} from './occurrences.js';
import type {JobSpecification} from './types.js';

/** Bytes of a job, of each of its steps, and of each task of one occurrence, with the indexes that they stand in. */
const jobBytes = 2048;
const stepBytes = 1024;
const taskBytes = 640;

const bytesPerCodeUnit = 2;

/** Bytes that the jobs of a ledger may take, by this estimate: a third of the heap of the smallest control host, and enough for the largest job. */
export const maximumStoredBytes = 72 * 1024 * 1024;

/** Bytes that a job takes that has ended and is still known. */
export const releasedJobBytes = 1408;

/** Estimates the bytes that an active job takes. Of a schedule one occurrence counts; the others take none before they are due. */
export function estimateJobBytes(specification: JobSpecification): number {
	const {payload, steps} = specification;
	return jobBytes + (payload.length * bytesPerCodeUnit) + (steps.length * stepBytes) + (countOccurrenceTasks(specification) * taskBytes);
}

/** Returns whether there is memory for one more job beside those that take `storedBytes`. */
export function hasRoomForJob(storedBytes: number, specification: JobSpecification): boolean {
	return storedBytes + estimateJobBytes(specification) <= maximumStoredBytes;
}
