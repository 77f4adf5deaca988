/**
 * A first-in, first-out queue from whose middle a job is taken out in constant time.
 */
import {Map as ImmutableMap} from 'immutable';
import type {JobId} from '@samphiremill/common';

/** A job's place in a queue. */
export type Ticket = number;

/** Waiting jobs by ticket; tickets of jobs that were taken out are skipped. */
export type JobQueue = {
	/** No waiting job has a ticket below this one. */
	readonly head: Ticket;
	/** The ticket of the next job. */
	readonly tail: Ticket;
	readonly entries: ImmutableMap<Ticket, JobId>;
};

/** A queue without jobs. */
export const emptyJobQueue: JobQueue = {head: 0, tail: 0, entries: ImmutableMap()};

/**
 * @param queue - The queue before.
 * @param job - The job to put at its end.
 * @returns The queue with the job, and the job's ticket.
 */
export function appendJob(queue: JobQueue, job: JobId): {readonly queue: JobQueue; readonly ticket: Ticket} {
	const ticket = queue.tail;
	return {queue: {...queue, tail: ticket + 1, entries: queue.entries.set(ticket, job)}, ticket};
}

/**
 * @param queue - The queue before.
 * @param job - The job to put at its front, since it has waited before.
 * @returns The queue with the job, and the job's ticket.
 */
export function prependJob(queue: JobQueue, job: JobId): {readonly queue: JobQueue; readonly ticket: Ticket} {
	const ticket = queue.head - 1;
	return {queue: {...queue, head: ticket, entries: queue.entries.set(ticket, job)}, ticket};
}

/**
 * @param queue - The queue before.
 * @param ticket - The ticket of the job to take out.
 * @returns The queue without the job. Its ends move past tickets that are gone, each once.
 */
export function removeTicket(queue: JobQueue, ticket: Ticket): JobQueue {
	const entries = queue.entries.delete(ticket);
	if (entries.size === 0) {
		return emptyJobQueue;
	}

	let {head, tail} = queue;
	while (!entries.has(head)) {
		head += 1;
	}

	while (!entries.has(tail - 1)) {
		tail -= 1;
	}

	return {head, tail, entries};
}

/**
 * @param queue - The queue to look into.
 * @returns The job that waits at its front.
 */
export function getFrontJob(queue: JobQueue): JobId | undefined {
	return queue.entries.get(queue.head);
}

/**
 * @param queue - The queue to look into.
 * @returns The job that waits at its back.
 */
export function getBackJob(queue: JobQueue): JobId | undefined {
	return queue.entries.get(queue.tail - 1);
}
