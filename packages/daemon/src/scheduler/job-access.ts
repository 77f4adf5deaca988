/**
 * Resolves a caller's request to its queue and team, and checks that the caller may use the queue.
 */
import {
	createJobCaller, findQueue, getQueuePlace,
	type AcceptedJob, type ActiveConfiguration, type QueueMatch, type Job, type JobCaller, type JobSpecification, type Ledger,
	type QueueDefinition, type TeamDefinition,
} from '@samphiremill/core';
import type {CallerTarget, ClusterAnswer} from './types.js';

/** Access that is granted, with what the request resolved to. */
export type GrantedAccess = {
	readonly type: 'granted';
	readonly found: QueueMatch;
	readonly team: TeamDefinition | undefined;
	readonly caller: JobCaller;
	readonly configuration: ActiveConfiguration;
};

/** Result of an access check. */
export type Access
	= | GrantedAccess
		| {readonly type: 'denied'; readonly answer: ClusterAnswer};

const deny = (answer: ClusterAnswer): Access => ({type: 'denied', answer});

/**
 * Checks a request against the active configuration.
 *
 * @returns The queue and the key's team, or the answer that denies the request.
 */
export const checkAccess = (ledger: Ledger, target: CallerTarget): Access => {
	const {configuration} = ledger;
	if (configuration === undefined) {
		return deny({type: 'noConfiguration'});
	}

	const found = findQueue(configuration, target);
	if (found === undefined) {
		return deny({type: 'unknownQueue'});
	}

	const team = target.key === undefined ? undefined : configuration.teamsByKey.get(target.key);
	return team === undefined && !found.queue.isOpen
		? deny({type: 'unknownKey'})
		: {
			type: 'granted', found, team, caller: createJobCaller(found.queue, team?.team), configuration,
		};
};

/**
 * Creates the record of an accepted job. It copies the settings of the queue, so that later changes of the
 * queue do not apply to the job.
 */
export const createAcceptedJob = ({id, queue, team, specification, acceptedAtMs}: {
	readonly id: Job['id'];
	readonly queue: QueueDefinition;
	readonly team: TeamDefinition | undefined;
	readonly specification: JobSpecification;
	readonly acceptedAtMs: number;
}): AcceptedJob => ({
	id,
	queue: queue.queue,
	pool: queue.pool,
	team: team?.team,
	place: getQueuePlace(queue),
	priority: queue.priority,
	maximumAttempts: queue.maximumAttempts,
	stretchFactor: queue.stretchFactor,
	startLatencyMs: queue.startLatencyMs,
	advice: queue.advice,
	specification,
	acceptedAtMs,
});
