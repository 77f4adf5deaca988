/**
 * The parts that keep committed state of their own inside the control state machine. A part adds its
 * state to `PartStates`, its commands to `PartCommand` and itself to `controlParts`.
 */
import type {Finding} from '@samphiremill/common';
import type {EscrowCommand, TeamGrantsState} from '../escrow/team-grants/index.js';
import type {MoveCommand, MovesState} from '../moves/types.js';
import type {WaveCommand, WavesState} from '../waves/types.js';
import {escrowPart} from './parts/escrow-part.js';
import {movesPart} from './parts/moves-part.js';
import {wavesPart} from './parts/waves-part.js';
import type {ControlState, ControlStep} from './types.js';

/** The committed state of each part; absent until the part's first command. */
export type PartStates = {
	readonly escrow?: TeamGrantsState;
	readonly moves?: MovesState;
	readonly waves?: WavesState;
};

/** The commands of all parts. Their `type` is `part/verb`. */
export type PartCommand = EscrowCommand | MoveCommand | WaveCommand;

/** What a part supplies to the control state machine. */
export type ControlPart = {
	/** The field of the part's state in `ControlState`, and the first half of its commands' `type`. */
	readonly name: keyof PartStates;
	/** Takes any old or foreign data to a valid state, or to none, and reports what was wrong. */
	readonly restoreState: (document: unknown) => {
		readonly states: Partial<PartStates>;
		readonly findings: readonly Finding[];
	};
	/** Applies one of the part's commands. Must depend on nothing but its arguments. */
	readonly applyCommand: (input: {readonly state: ControlState; readonly command: PartCommand}) => ControlStep;
};

/** Every part, registered in this one place. */
export const controlParts: readonly ControlPart[] = [escrowPart, movesPart, wavesPart];
