/**
 * Which queue and which team a caller's request is for.
 */
import {
	findQueue,
	type AcceptedJob, type ActiveConfiguration, type QueueMatch, type Job, type JobSpecification, type Ledger,
	type QueueDefinition, type TeamDefinition,
} from '@samphiremill/core';
import type {CallerTarget, ClusterAnswer} from './types.js';

/** A caller may have what it asks for. */
export type GrantedAccess = {
	readonly type: 'granted';
	readonly found: QueueMatch;
	readonly team: TeamDefinition | undefined;
	readonly configuration: ActiveConfiguration;
};

/** Whether a caller may have what it asks for. */
export type Access
	= | GrantedAccess
		| {readonly type: 'denied'; readonly answer: ClusterAnswer};

const deny = (answer: ClusterAnswer): Access => ({type: 'denied', answer});

/**
 * @param ledger - The ledger, with the configuration in force.
 * @param target - The host, path and key of a request.
 * @returns The queue and the key's team, or what the caller is told instead.
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
			type: 'granted', found, team, configuration,
		};
};

/**
 * @param accepted - The job, its queue and its team.
 * @returns The job as it is agreed on; later changes of the queue leave it as it is.
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
	priority: queue.priority,
	maximumAttempts: queue.maximumAttempts,
	stretchFactor: queue.stretchFactor,
	startLatencyMs: queue.startLatencyMs,
	advice: queue.advice,
	specification,
	acceptedAtMs,
});
