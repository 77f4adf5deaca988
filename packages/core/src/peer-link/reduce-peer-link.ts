import type {MonotonicMs, NodeId} from '@samphiremill/common';
import {initialTransition, transition, type SnapshotFrom} from 'xstate';
import type {Step} from '../step.js';
import {peerLinkMachine} from './machine.js';
import type {
	ConnectionId, PeerLinkConfig, PeerLinkEffect, PeerLinkEvent,
} from './types.js';

/** The state of one link, a snapshot of its machine. */
export type PeerLinkState = SnapshotFrom<typeof peerLinkMachine>;

function isPeerLinkEffect(parameters: unknown): parameters is PeerLinkEffect {
	return parameters instanceof Object && 'type' in parameters && String(parameters.type).startsWith('peerLink/');
}

/**
 * Creates the state of a link that has no connection yet.
 *
 * @param options - Both ends, the timings in milliseconds, whether the link is kept open without
 * use, and the time of creation.
 * @returns The idle link.
 */
export function createPeerLinkState(options: {
	readonly cfg: PeerLinkConfig;
	readonly self: NodeId;
	readonly peer: NodeId;
	readonly isPermanent: boolean;
	readonly nowMs: MonotonicMs;
}): PeerLinkState {
	return initialTransition(peerLinkMachine, options)[0];
}

/**
 * Moves a link on by one event.
 *
 * @param state - The link as it was.
 * @param event - What happened to it.
 * @returns The link as it is, and what the shell has to do, in order.
 */
export function reducePeerLink(state: PeerLinkState, event: PeerLinkEvent): Step<PeerLinkState, PeerLinkEffect> {
	const [next, actions] = transition(peerLinkMachine, state, event);
	return {state: next, effects: actions.map(({params}) => params).filter(parameters => isPeerLinkEffect(parameters))};
}

/**
 * @param state - The link.
 * @returns The authenticated connection in use, or undefined while there is none.
 */
export function getUpConnection(state: PeerLinkState): ConnectionId | undefined {
	return state.value === 'up' ? state.context.connection : undefined;
}

/**
 * @param state - The link.
 * @returns Whether time alone can change the link; one that nobody uses needs no ticks.
 */
export function needsTick(state: PeerLinkState): boolean {
	return state.value !== 'idle' || state.context.isPermanent;
}
