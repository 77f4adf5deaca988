import type {NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import type {ReplicaMessage} from './messages.js';
import type {ReplicaConfig, ReplicaEffect, ReplicaState} from './types.js';

/** One step of the replica's reducer. */
export type ReplicaStep<Command> = Step<ReplicaState<Command>, ReplicaEffect<Command>>;

/** What every part of the reducer needs besides the state. */
export type ReplicaContext = {
	readonly cfg: ReplicaConfig;
	readonly nowMs: number;
};

/** A message with its receiver. */
export type AddressedMessage<Command> = {
	readonly to: NodeId;
	readonly message: ReplicaMessage<Command>;
};

/**
 * @param state - The next state.
 * @param effects - What to do.
 * @returns Both as one step.
 */
export function createStep<Command>(
	state: ReplicaState<Command>,
	effects: ReadonlyArray<ReplicaEffect<Command>> = [],
): ReplicaStep<Command> {
	return {state, effects};
}

/**
 * Runs parts of the reducer one after the other.
 *
 * @param step - The step so far.
 * @param parts - The parts, each given the state that the one before left.
 * @returns The last state with the effects of all.
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

/**
 * @param to - The receiver.
 * @param message - The message.
 * @returns The effect that sends it.
 */
export function createSend<Command>(to: NodeId, message: ReplicaMessage<Command>): ReplicaEffect<Command> {
	return {type: 'peer/send', to, message};
}
