/**
 * The state machine of one host within one wave.
 */
import {setup, transition} from 'xstate';
import type {
	AdvanceHostCommand, FailHostCommand, GrantDrainCommand, HostPhase, RemoveHostCommand,
} from './types.js';

/** An event that changes the phase of a host. */
export type HostEvent = {
	readonly type:
		| 'granted'
		| 'revoked'
		| 'drainBegun'
		| 'recalled'
		| 'drained'
		| 'rebootAccepted'
		| 'returned'
		| 'failed'
		| 'removed';
};

/** A command that changes the phase of one host. */
export type HostCommand = GrantDrainCommand | AdvanceHostCommand | FailHostCommand | RemoveHostCommand;

const exampleEvent: HostEvent = {type: 'granted'};

const hostMachine = setup({types: {events: exampleEvent}}).createMachine({
	id: 'waveHost',
	initial: 'pending',
	states: {
		pending: {on: {granted: 'granted', removed: 'removed'}},
		granted: {on: {drainBegun: 'draining', revoked: 'pending', removed: 'removed'}},
		draining: {on: {drained: 'rebooting', recalled: 'pending', removed: 'removed'}},
		rebooting: {
			on: {
				rebootAccepted: 'rebooting', returned: 'returned', failed: 'failed', removed: 'removed',
			},
		},
		// A host that becomes silent soon after its return counts as failed.
		returned: {on: {failed: 'failed'}},
		failed: {on: {returned: 'returned', removed: 'removed'}},
		removed: {},
	},
});

/**
 * Computes the phase that follows an event.
 *
 * @returns The next phase; `undefined` when the event is not allowed in the current phase.
 */
export function getNextHostPhase({phase, event}: {phase: HostPhase; event: HostEvent}): HostPhase | undefined {
	const snapshot = hostMachine.resolveState({value: phase, context: {}});
	if (!snapshot.can(event)) {
		return undefined;
	}

	return transition(hostMachine, snapshot, event)[0].value;
}

/** Maps the type of a command to the event of the state machine. */
export function getHostEvent(type: HostCommand['type']): HostEvent {
	switch (type) {
		case 'waves/grantDrain': {
			return {type: 'granted'};
		}

		case 'waves/revokeGrant': {
			return {type: 'revoked'};
		}

		case 'waves/hostDraining': {
			return {type: 'drainBegun'};
		}

		case 'waves/recallDrain': {
			return {type: 'recalled'};
		}

		case 'waves/hostDrained': {
			return {type: 'drained'};
		}

		case 'waves/hostRebooting': {
			return {type: 'rebootAccepted'};
		}

		case 'waves/hostReturned': {
			return {type: 'returned'};
		}

		case 'waves/hostFailed': {
			return {type: 'failed'};
		}

		case 'waves/hostRemoved': {
			return {type: 'removed'};
		}
	}
}
