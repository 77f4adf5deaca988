import type {Result, TimerService, WallClockMs} from '@samphiremill/common';
import type {
	ControlAnswer, ControlState, ObservedEntryHost, FleetView, LearnedRunTime, MoveCommand, MovesConfig, PoolDemand, WaveCommand, WavesConfig,
} from '@samphiremill/core';
import type {PlatformClient, PlatformError} from '../platform/types.js';

/** A command that the controller proposes. */
export type PlannedCommand = WaveCommand | MoveCommand;

/** The answer to a proposal; undefined if there is no leader or the answer was lost. */
export type PlannedOutcome = ControlAnswer | undefined;

/** A decision of the controller that is logged. */
export type ControllerDecision
	= | {readonly type: 'proposed'; readonly command: PlannedCommand; readonly outcome: PlannedOutcome}
		| {readonly type: 'platformCalled'; readonly call: PlatformCall; readonly err?: PlatformError};

/** One call to the platform. */
export type PlatformCall = {
	readonly operation: 'getHost' | 'listClosedHosts' | 'closeIntake' | 'openIntake' | 'reboot' | 'checkpointTask' | 'stopTask';
	readonly host?: string;
	/** The id of the reboot or the task. */
	readonly target?: string;
};

/** The dependencies and the configuration of the wave controller. */
export type WaveControllerOptions = {
	readonly timers: TimerService;
	readonly platform: PlatformClient;
	/** Whether this node leads and no other node can lead. */
	readonly hasLeaderLease: () => boolean;
	readonly getControlState: () => ControlState;
	/** The last log index that is applied to the state of `getControlState`. */
	readonly getAppliedIndex: () => number;
	readonly getFleet: () => FleetView;
	readonly getEntryHosts: () => readonly ObservedEntryHost[];
	readonly getDemand: () => readonly PoolDemand[];
	/** The learned run time of tasks of this kind; undefined if unknown. */
	readonly getLearnedRunTime: (kind: string) => LearnedRunTime | undefined;
	readonly getWallClockMs: () => WallClockMs;
	readonly propose: (command: PlannedCommand) => Promise<PlannedOutcome>;
	readonly log: (decision: ControllerDecision) => void;
	readonly wavesConfig?: WavesConfig;
	readonly movesConfig?: MovesConfig;
};

/** A running controller. */
export type WaveController = {
	/** Plans, proposes and calls the platform once, as the timer does in each period. */
	readonly runOnce: () => Promise<void>;
	/** Stops the timer and waits for a period that is in progress. */
	readonly stop: () => Promise<void>;
};

/** The result of one call to the platform. */
export type CallResult<Value> = Result<Value, PlatformError>;
