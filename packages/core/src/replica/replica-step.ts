import type {NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import type {ReplicaMessage} from './messages.js';
import type {ReplicaConfig, ReplicaEffect, ReplicaState} from './types.js';

/** One step of the replica's reducer. */
export type ReplicaStep<Command> = Step<ReplicaState<Command>, ReplicaEffect<Command>>;

/** The input, besides the state, that every part of the reducer needs. */
export type ReplicaContext = {
	readonly cfg: ReplicaConfig;
	readonly nowMs: number;
};

/** A message and its receiver. */
export type AddressedMessage<Command> = {
	readonly to: NodeId;
	readonly message: ReplicaMessage<Command>;
};

/** Creates a step from a state and its effects. */
export function createStep<Command>(
	state: ReplicaState<Command>,
	effects: ReadonlyArray<ReplicaEffect<Command>> = [],
): ReplicaStep<Command> {
	return {state, effects};
}

/**
 * Runs several parts of the reducer one after the other, each on the state that the previous one returned.
 * Returns the last state and the effects of all parts.
 */
export function chainSteps<Command>(
	step: ReplicaStep<Command>,
	...parts: ReadonlyArray<(state: ReplicaState<Command>) => ReplicaStep<Command>>
): ReplicaStep<Command> {
	let {state} = step;
	const effects = [...step.effects];
	for (const part of parts) {
		const next = part(state);
		state = next.state;
		effects.push(...next.effects);
	}

	return {state, effects};
}

/** Creates the effect that sends a message. */
export function createSend<Command>(to: NodeId, message: ReplicaMessage<Command>): ReplicaEffect<Command> {
	return {type: 'peer/send', to, message};
}
