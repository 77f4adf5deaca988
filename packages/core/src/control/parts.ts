/**
 * Parts of the control state machine that have their own committed state. A new part adds its state to
 * `PartStates`, its commands to `PartCommand` and itself to `controlParts`.
 */
import type {Finding} from '@samphiremill/common';
import type {EscrowCommand, TeamGrantsState} from '../escrow/team-grants/index.js';
import type {MoveCommand, MovesState} from '../moves/types.js';
import type {WaveCommand, WavesState} from '../waves/types.js';
import {escrowPart} from './parts/escrow-part.js';
import {movesPart} from './parts/moves-part.js';
import {wavesPart} from './parts/waves-part.js';
import type {ControlState, ControlStep} from './types.js';

/** The committed state of each part. Absent until the part's first command. */
export type PartStates = {
	readonly escrow?: TeamGrantsState;
	readonly moves?: MovesState;
	readonly waves?: WavesState;
};

/** A command of any part. Its `type` has the form `part/verb`. */
export type PartCommand = EscrowCommand | MoveCommand | WaveCommand;

/** The interface between a part and the control state machine. */
export type ControlPart = {
	/** The name of the part's field in `ControlState`, and the prefix of its commands' `type`. */
	readonly name: keyof PartStates;
	/** Restores the state from an untrusted document. Returns no state if it is invalid, and all findings. */
	readonly restoreState: (document: unknown) => {
		readonly states: Partial<PartStates>;
		readonly findings: readonly Finding[];
	};
	/** Applies one of the part's commands. Must be a pure function. */
	readonly applyCommand: (input: {readonly state: ControlState; readonly command: PartCommand}) => ControlStep;
};

export const controlParts: readonly ControlPart[] = [escrowPart, movesPart, wavesPart];
