/**
 * Moves of hosts between pools. A host is released, drained and adopted under an ownership epoch, so that it
 * serves at most one pool at any time. Spare pools lend hosts to other pools and take them back.
 */
import type {
	DataCentreId, NodeId, PoolId, WallClockMs, WorkerId,
} from '@samphiremill/common';
import type {DataCentreView, HostOwnership} from '../control/types.js';
import type {FleetRecords, PlatformHost, WavesState} from '../waves/types.js';

/** The reason for a move. */
export type MoveReason
	= | 'lend'
		| 'takeBack'
	/** The operator changed the home pool of the worker. */
		| 'rehome';

/** The move of one host. */
export type HostMove = {
	readonly worker: WorkerId;
	/** The ownership epoch that began with the release. */
	readonly epoch: number;
	readonly from: PoolId;
	readonly to: PoolId;
	readonly reason: MoveReason;
	/** No task of the old pool runs on the host, and none can start. */
	readonly isDrained: boolean;
	/** The entry hosts of the worker's data centre when the release began. */
	readonly entryHosts: readonly NodeId[];
	readonly startedAtMs: WallClockMs;
};

/** The replicated state of all moves. The owners of the hosts are in the control records. */
export type MovesState = {
	/** Sorted by worker id. */
	readonly moves: readonly HostMove[];
};

/** Begins a move. An entry host that has applied this command dispatches no new work to the host. */
export type BeginReleaseCommand = {
	readonly type: 'moves/beginRelease';
	readonly worker: WorkerId;
	readonly to: PoolId;
	readonly expectedEpoch: number;
	readonly reason: MoveReason;
	/** The revision of the host observations that the planner used. */
	readonly observationRevision: number;
	readonly atMs: WallClockMs;
};

/** Records that no entry host can dispatch to the host any more and that no task runs there. */
export type MoveDrainedCommand = {
	readonly type: 'moves/hostDrained';
	readonly worker: WorkerId;
	readonly epoch: number;
	/** The entry hosts that have applied the release. */
	readonly acknowledgedBy: readonly NodeId[];
	/** The entry hosts whose configuration lease expired after the release. */
	readonly expired: readonly NodeId[];
};

/** Ends a move: the host belongs to the new pool. */
export type AdoptCommand = {
	readonly type: 'moves/adopt';
	readonly worker: WorkerId;
	readonly epoch: number;
};

/** Returns the host to its old pool. */
export type CancelMoveCommand = {
	readonly type: 'moves/cancel';
	readonly worker: WorkerId;
	readonly epoch: number;
};

/** A command on moves. */
export type MoveCommand = BeginReleaseCommand | MoveDrainedCommand | AdoptCommand | CancelMoveCommand;

/** Why a command had no effect. */
export type MoveRejection
	= | 'unknownHost'
		| 'unknownPool'
		| 'samePool'
		| 'staleEpoch'
		| 'staleObservation'
		| 'alreadyMoving'
		| 'hostUnavailable'
		| 'hostAside'
		| 'budgetExceeded'
		| 'fleetBoundReached'
		| 'notDrained'
		| 'notAcknowledged';

/** Whether a command was applied. */
export type MoveAnswer
	= | {readonly type: 'applied'}
		| {readonly type: 'rejected'; readonly reason: MoveRejection; readonly message: string};

/** The next state, the changed ownership, and whether the command was applied. */
export type MoveCommandResult = {
	readonly state: MovesState;
	readonly ownership?: HostOwnership;
	readonly answer: MoveAnswer;
};

/** The committed state that the conditions of a command are checked against. */
export type MoveContext = {
	readonly records: FleetRecords;
	readonly waves: WavesState;
	readonly views: readonly DataCentreView[];
	readonly maximumHostsAsideFleetWide: number;
};

/** The input of an action. */
export type MoveInput<Command extends MoveCommand = MoveCommand> = {
	readonly state: MovesState;
	readonly command: Command;
	readonly context: MoveContext;
};

/** An entry host as the leader observes it. */
export type ObservedEntryHost = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	/** The highest log index that the entry host is known to have applied. */
	readonly appliedIndex: number;
};

/** The demand on a pool, as the entry hosts report it. */
export type PoolDemand = {
	readonly pool: PoolId;
	/** The slots that running and waiting jobs need. */
	readonly demandSlots: number;
	/** The slots of the pool's hosts that are available now. */
	readonly capacitySlots: number;
};

/** The smoothed demand of one pool. It is kept in the leader's memory only. */
export type SmoothedDemand = PoolDemand & {
	/** Since when the demand has been continuously above the threshold for borrowing. */
	readonly aboveSinceMs?: number;
	/** Since when the demand has been continuously low enough to give a host back. */
	readonly belowSinceMs?: number;
};

/** The smoothed demand of all pools. */
export type DemandState = {
	readonly pools: readonly SmoothedDemand[];
	readonly observedAtMs?: number;
};

/** A report of the demand of all pools. */
export type DemandEvent = {
	readonly type: 'moves/demandObserved';
	readonly pools: readonly PoolDemand[];
	/** On the leader's monotonic clock. */
	readonly nowMs: number;
};

/** The settings that control when hosts are lent and taken back. */
export type MovesConfig = {
	/** The time constant over which demand is smoothed. */
	readonly smoothingMs: number;
	/** A pool borrows a host while its demand stays above this fraction of its capacity. */
	readonly lendAbove: number;
	/** A pool gives a host back while its demand stays below this fraction of its capacity without that host. */
	readonly takeBackBelow: number;
	/** How long the demand must stay above `lendAbove` before a host is lent. */
	readonly lendHoldMs: number;
	/** How long the demand must stay below `takeBackBelow` before a host is taken back. */
	readonly takeBackHoldMs: number;
	readonly maximumMovesInFlight: number;
	/** The number of hosts that a spare pool never lends. */
	readonly reserveHosts: number;
	/** After this time, the configuration lease of an entry host that has not applied the release has expired. */
	readonly leaseWaitMs: number;
	/** The slots of one host, used to compute the capacity of a pool without one of its hosts. */
	readonly slotsPerHost: number;
};

/** The input of one planning step. */
export type PlanMovesInput = {
	readonly moves: MovesState;
	readonly context: MoveContext;
	readonly demand: DemandState;
	/** Read from the platform after `entryHosts`, so that it includes work that an entry host sent before it applied a release. */
	readonly platform: readonly PlatformHost[];
	readonly entryHosts: readonly ObservedEntryHost[];
	/** When the leader first observed each release. */
	readonly releases: readonly ObservedRelease[];
	readonly nowMs: number;
	readonly atMs: WallClockMs;
	readonly cfg: MovesConfig;
};

/** When the leader first observed a release. */
export type ObservedRelease = {
	readonly worker: WorkerId;
	readonly epoch: number;
	/** The log index that the leader had applied at that time. */
	readonly index: number;
	/** On the leader's monotonic clock. */
	readonly seenAtMs: number;
};
