/**
 * The state machine of one wave.
 */
import {setup, transition} from 'xstate';
import type {FollowRecordCommand, WavePhase} from './types.js';

/** An event that changes the phase of a wave. */
export type WaveEvent = {
	readonly type: 'paused' | 'resumed' | 'aborted' | 'settled';
};

const exampleEvent: WaveEvent = {type: 'paused'};

const waveMachine = setup({types: {events: exampleEvent}}).createMachine({
	id: 'wave',
	initial: 'running',
	states: {
		running: {on: {paused: 'paused', aborted: 'aborting', settled: 'completed'}},
		paused: {on: {resumed: 'running', aborted: 'aborting', settled: 'completed'}},
		// A reboot in progress cannot be stopped, so the wave ends once the rebooting hosts have returned or failed.
		aborting: {on: {settled: 'aborted'}},
		completed: {},
		aborted: {},
	},
});

/**
 * Computes the phase that follows an event.
 *
 * @returns The next phase; `undefined` when the event is not allowed in the current phase.
 */
export function getNextWavePhase({phase, event}: {phase: WavePhase; event: WaveEvent}): WavePhase | undefined {
	const snapshot = waveMachine.resolveState({value: phase, context: {}});
	if (!snapshot.can(event)) {
		return undefined;
	}

	return transition(waveMachine, snapshot, event)[0].value;
}

/** Maps the type of a command to the event of the state machine. */
export function getWaveEvent(type: FollowRecordCommand['type']): WaveEvent {
	switch (type) {
		case 'waves/pause': {
			return {type: 'paused'};
		}

		case 'waves/resume': {
			return {type: 'resumed'};
		}

		case 'waves/abort': {
			return {type: 'aborted'};
		}
	}
}
