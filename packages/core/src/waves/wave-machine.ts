/**
 * The life of one wave.
 */
import {setup, transition} from 'xstate';
import type {FollowRecordCommand, WavePhase} from './types.js';

/** What moves a wave from phase to phase. */
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
		// Hosts that are rebooting cannot be stopped, so the wave ends when they are back.
		aborting: {on: {settled: 'aborted'}},
		completed: {},
		aborted: {},
	},
});

/**
 * @param input - The wave's phase, and what happened to it.
 * @returns The next phase, or `undefined` where the event does not fit the phase.
 */
export function getNextWavePhase({phase, event}: {phase: WavePhase; event: WaveEvent}): WavePhase | undefined {
	const snapshot = waveMachine.resolveState({value: phase, context: {}});
	if (!snapshot.can(event)) {
		return undefined;
	}

	return transition(waveMachine, snapshot, event)[0].value;
}

/**
 * @param type - The type of a command that follows a wave's record.
 * @returns The event that the command is to the wave.
 */
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
