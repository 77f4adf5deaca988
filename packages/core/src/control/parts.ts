/**
 * The parts that keep committed state of their own inside the control state machine. A part adds its
 * state to `PartStates`, its commands to `PartCommand` and itself to `controlParts`.
 */
import type {ControlState, ControlStep} from './types.js';

/** The committed state of each part; absent until the part's first command. */
export type PartStates = Record<never, never>;

/** The commands of all parts. Their `type` is `part/verb`. */
export type PartCommand = never;

/** What a part supplies to the control state machine. */
export type ControlPart = {
	/** The field of the part's state in `ControlState`, and the first half of its commands' `type`. */
	readonly name: keyof PartStates;
	/** Takes any old or foreign data to a valid state. */
	readonly restoreState: (document: unknown) => Partial<PartStates>;
	/** Applies one of the part's commands. Must depend on nothing but its arguments. */
	readonly applyCommand: (input: {readonly state: ControlState; readonly command: PartCommand}) => ControlStep;
};

/** Every part, registered in this one place. */
export const controlParts: readonly ControlPart[] = [];
