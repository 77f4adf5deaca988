/**
 * Who may know of a job, and cancel it: its team, anyone if it has none, and anyone who asks for it where it was submitted while the queue there is open to
 * all. A call to such a queue needs no key, so the key of the submission decides nothing there.
 */
import {toBrand} from '@samphiremill/common';
import type {
	Job, JobCaller, QueueDefinition, QueuePlace,
} from './types.js';

/** Returns the place of a queue. */
export const getQueuePlace = ({host, pathPrefix}: Pick<QueueDefinition, 'host' | 'pathPrefix'>): QueuePlace => toBrand(`${host}${pathPrefix}`);

/** Describes a caller of a queue who gave the key of a team, or none. */
export const createJobCaller = (queue: Pick<QueueDefinition, 'host' | 'pathPrefix' | 'isOpen'>, team: JobCaller['team']): JobCaller => ({
	team, ...(queue.isOpen && {openPlace: getQueuePlace(queue)}),
});

/** Returns whether the caller may know of the job, and cancel it. */
export const mayAccessJob = ({team, openPlace}: JobCaller, job: Pick<Job, 'team' | 'place'>): boolean =>
	job.team === undefined || job.team === team || (openPlace !== undefined && job.place === openPlace);
