import type {MonotonicMs, NodeId} from '@samphiremill/common';
import {initialTransition, transition, type SnapshotFrom} from 'xstate';
import type {Step} from '../step.js';
import {peerLinkMachine} from './machine.js';
import type {
	ConnectionId, PeerLinkConfig, PeerLinkEffect, PeerLinkEvent,
} from './types.js';

/** The state of one link: a snapshot of its state machine. */
export type PeerLinkState = SnapshotFrom<typeof peerLinkMachine>;

function isPeerLinkEffect(parameters: unknown): parameters is PeerLinkEffect {
	return parameters instanceof Object && 'type' in parameters && String(parameters.type).startsWith('peerLink/');
}

/**
 * Creates the state of an idle link, which has no connection yet.
 *
 * @param options - With `isPermanent`, the link is kept open without use. `nowMs` is the time of creation.
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
 * Applies one event to a link.
 *
 * @returns The next state, and the effects for the shell in order.
 */
export function reducePeerLink(state: PeerLinkState, event: PeerLinkEvent): Step<PeerLinkState, PeerLinkEffect> {
	// `transition` creates an actor each time, and nearly all ticks change nothing.
	if (event.type === 'peerLink/tick' && !state.can(event)) {
		return {state, effects: []};
	}

	const [next, actions] = transition(peerLinkMachine, state, event);
	return {state: next, effects: actions.map(({params}) => params).filter(parameters => isPeerLinkEffect(parameters))};
}

/** Returns the authenticated connection in use, or `undefined` while there is none. */
export function getUpConnection(state: PeerLinkState): ConnectionId | undefined {
	return state.value === 'up' ? state.context.connection : undefined;
}

/** Returns whether time alone can change the link. An idle link that opens on demand needs no ticks. */
export function needsTick(state: PeerLinkState): boolean {
	return state.value !== 'idle' || state.context.isPermanent;
}
