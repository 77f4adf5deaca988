/**
 * First-in, first-out queue that also removes jobs from its middle in constant time.
 */
import {Map as ImmutableMap} from 'immutable';
import type {JobId} from '@samphiremill/common';

/** Position of a job in a queue. */
export type Ticket = number;

/** Waiting jobs by ticket. Tickets of removed jobs are skipped. */
export type JobQueue = {
	/** Lower bound of the tickets of all waiting jobs. */
	readonly head: Ticket;
	/** Ticket of the next appended job. */
	readonly tail: Ticket;
	readonly entries: ImmutableMap<Ticket, JobId>;
};

export const emptyJobQueue: JobQueue = {head: 0, tail: 0, entries: ImmutableMap()};

/** Returns the queue with a job added at the back, and the job's ticket. */
export function appendJob(queue: JobQueue, job: JobId): {readonly queue: JobQueue; readonly ticket: Ticket} {
	const ticket = queue.tail;
	return {queue: {...queue, tail: ticket + 1, entries: queue.entries.set(ticket, job)}, ticket};
}

/**
 * Returns the queue with a job added at the front, and the job's ticket. Used for a job that has
 * waited before.
 */
export function prependJob(queue: JobQueue, job: JobId): {readonly queue: JobQueue; readonly ticket: Ticket} {
	const ticket = queue.head - 1;
	return {queue: {...queue, head: ticket, entries: queue.entries.set(ticket, job)}, ticket};
}

/** Removes the job with a ticket. `head` and `tail` move past removed tickets, once per ticket. */
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

/** Returns the job at the front, or `undefined` if the queue is empty. */
export function getFrontJob(queue: JobQueue): JobId | undefined {
	return queue.entries.get(queue.head);
}

/** Returns the job at the back, or `undefined` if the queue is empty. */
export function getBackJob(queue: JobQueue): JobId | undefined {
	return queue.entries.get(queue.tail - 1);
}
