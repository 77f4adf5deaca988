import type {ControlCommand, NodeMessage, ReplicaMessage} from '@samphiremill/core';

const hasType = (message: unknown): message is {readonly type: string} =>
	typeof message === 'object' && message !== null && 'type' in message && typeof message.type === 'string';

/** Checks whether a peer's message is for the replicated log. */
export const isReplicaMessage = (message: unknown): message is ReplicaMessage<ControlCommand> =>
	hasType(message) && message.type.startsWith('replica/');

/** Checks whether a peer's message is for a part of the node reducer. */
export const isNodeMessage = (message: unknown): message is NodeMessage =>
	hasType(message) && /^(?:claims|escrow|membership|minions)\//v.test(message.type);
