import type {Result, TimerService, WallClockMs} from '@samphiremill/common';
import type {
	ControlAnswer, ControlState, ObservedEntryHost, FleetView, LearnedRunTime, MoveCommand, MovesConfig, PoolDemand, WaveCommand, WavesConfig,
} from '@samphiremill/core';
import type {PlatformClient, PlatformError} from '../platform/types.js';

/** A command that the controller proposes. */
export type PlannedCommand = WaveCommand | MoveCommand;

/** What became of a proposal; absent where nobody leads or the answer was lost. */
export type PlannedOutcome = ControlAnswer | undefined;

/** One decision of the controller, for the log. */
export type ControllerDecision
	= | {readonly type: 'proposed'; readonly command: PlannedCommand; readonly outcome: PlannedOutcome}
		| {readonly type: 'platformCalled'; readonly call: PlatformCall; readonly err?: PlatformError};

/** One call to the platform. */
export type PlatformCall = {
	readonly operation: 'getHost' | 'listClosedHosts' | 'closeIntake' | 'openIntake' | 'reboot' | 'checkpointTask' | 'stopTask';
	readonly host?: string;
	/** The reboot or the task. */
	readonly target?: string;
};

/** What the controller needs of the daemon. */
export type WaveControllerOptions = {
	readonly timers: TimerService;
	readonly platform: PlatformClient;
	/** Whether this node leads and no other can. */
	readonly hasLeaderLease: () => boolean;
	readonly getControlState: () => ControlState;
	/** The log index up to which `getControlState` is applied. */
	readonly getAppliedIndex: () => number;
	readonly getFleet: () => FleetView;
	readonly getEntryHosts: () => readonly ObservedEntryHost[];
	readonly getDemand: () => readonly PoolDemand[];
	/** What is known of the run time of tasks of this kind. */
	readonly getLearnedRunTime: (kind: string) => LearnedRunTime | undefined;
	readonly getWallClockMs: () => WallClockMs;
	readonly propose: (command: PlannedCommand) => Promise<PlannedOutcome>;
	readonly log: (decision: ControllerDecision) => void;
	readonly wavesConfig?: WavesConfig;
	readonly movesConfig?: MovesConfig;
};

/** A running controller. */
export type WaveController = {
	/** Plans, proposes and calls the platform once; the timer does the same each period. */
	readonly runOnce: () => Promise<void>;
	/** Ends the periods and waits for the one under way. */
	readonly stop: () => Promise<void>;
};

/** What became of one call to the platform. */
export type CallResult<Value> = Result<Value, PlatformError>;
