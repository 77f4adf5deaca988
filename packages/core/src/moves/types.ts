/**
 * Moves of hosts between pools: drain, release, adopt, under an ownership epoch, so that a host
 * serves one pool at any moment. The spare pools lend hosts and take them back.
 */
import type {
	DataCentreId, NodeId, PoolId, WallClockMs, WorkerId,
} from '@samphiremill/common';
import type {DataCentreView, HostOwnership} from '../control/types.js';
import type {FleetRecords, PlatformHost, WavesState} from '../waves/types.js';

/** Why a host moves. */
export type MoveReason
	= | 'lend'
		| 'takeBack'
	/** The operator gave the worker another home pool. */
		| 'rehome';

/** One host on its way. */
export type HostMove = {
	readonly worker: WorkerId;
	/** The ownership epoch that the release began. */
	readonly epoch: number;
	readonly from: PoolId;
	readonly to: PoolId;
	readonly reason: MoveReason;
	/** Nothing runs under the old pool, and nothing can start. */
	readonly isDrained: boolean;
	/** Entry hosts of the worker's data centre when the release began. */
	readonly entryHosts: readonly NodeId[];
	readonly startedAtMs: WallClockMs;
};

/** The replicated state of all moves. The owners themselves are in the control records. */
export type MovesState = {
	/** In order of worker. */
	readonly moves: readonly HostMove[];
};

/** The first step: no entry host that has applied it dispatches new work to the host. */
export type BeginReleaseCommand = {
	readonly type: 'moves/beginRelease';
	readonly worker: WorkerId;
	readonly to: PoolId;
	readonly expectedEpoch: number;
	readonly reason: MoveReason;
	/** The observations of hosts that the planner worked from. */
	readonly observationRevision: number;
	readonly atMs: WallClockMs;
};

/** No entry host dispatches to the host any more, and since then nothing runs there. */
export type MoveDrainedCommand = {
	readonly type: 'moves/hostDrained';
	readonly worker: WorkerId;
	readonly epoch: number;
	/** Entry hosts that have applied the release. */
	readonly acknowledgedBy: readonly NodeId[];
	/** Entry hosts whose configuration lease ran out after the release. */
	readonly expired: readonly NodeId[];
};

/** The last step: the host belongs to the new pool. */
export type AdoptCommand = {
	readonly type: 'moves/adopt';
	readonly worker: WorkerId;
	readonly epoch: number;
};

/** Gives the host back to its old pool. */
export type CancelMoveCommand = {
	readonly type: 'moves/cancel';
	readonly worker: WorkerId;
	readonly epoch: number;
};

/** Every command over moves. */
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

/** What became of a command. */
export type MoveAnswer
	= | {readonly type: 'applied'}
		| {readonly type: 'rejected'; readonly reason: MoveRejection; readonly message: string};

/** The next state, the owner that changed, and what became of the command. */
export type MoveCommandResult = {
	readonly state: MovesState;
	readonly ownership?: HostOwnership;
	readonly answer: MoveAnswer;
};

/** What the conditions of a command are checked against. */
export type MoveContext = {
	readonly records: FleetRecords;
	readonly waves: WavesState;
	readonly views: readonly DataCentreView[];
	readonly maximumHostsAsideFleetWide: number;
};

/** What an action gets. */
export type MoveInput<Command extends MoveCommand = MoveCommand> = {
	readonly state: MovesState;
	readonly command: Command;
	readonly context: MoveContext;
};

/** One entry host as the leader knows it. */
export type ObservedEntryHost = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	/** The log index that the host is known to have applied. */
	readonly appliedIndex: number;
};

/** How much a pool has to do, as the entry hosts report it. */
export type PoolDemand = {
	readonly pool: PoolId;
	/** Jobs that run or wait, in slots. */
	readonly demandSlots: number;
	/** Slots of the pool's hosts that are available at this moment. */
	readonly capacitySlots: number;
};

/** One pool's demand over time, volatile on the leader. */
export type SmoothedDemand = PoolDemand & {
	/** Since when the pool has been under pressure without a break. */
	readonly aboveSinceMs?: number;
	/** Since when the pool could do with a host less without a break. */
	readonly belowSinceMs?: number;
};

/** The demand of all pools, smoothed. */
export type DemandState = {
	readonly pools: readonly SmoothedDemand[];
	readonly observedAtMs?: number;
};

/** What the leader learns of demand. */
export type DemandEvent = {
	readonly type: 'moves/demandObserved';
	readonly pools: readonly PoolDemand[];
	/** On the leader's monotonic clock. */
	readonly nowMs: number;
};

/** When hosts are lent and taken back. */
export type MovesConfig = {
	/** The time constant over which demand is smoothed. */
	readonly smoothingMs: number;
	/** A pool whose demand stays above this part of its capacity borrows. */
	readonly lendAbove: number;
	/** A pool whose demand would stay below this part of its capacity without a host gives it back. */
	readonly takeBackBelow: number;
	readonly lendHoldMs: number;
	readonly takeBackHoldMs: number;
	readonly maximumMovesInFlight: number;
	/** Hosts that a spare pool never lends. */
	readonly reserveHosts: number;
	/** After this time an entry host's configuration lease has run out unless it has applied the release. */
	readonly leaseWaitMs: number;
	/** Slots that one host brings, for judging a pool without one of its hosts. */
	readonly slotsPerHost: number;
};

/** All that a step of planning reads. */
export type PlanMovesInput = {
	readonly moves: MovesState;
	readonly context: MoveContext;
	readonly demand: DemandState;
	/** Asked after `entryHosts` was read, so that work which an entry host sent before it applied a release is seen. */
	readonly platform: readonly PlatformHost[];
	readonly entryHosts: readonly ObservedEntryHost[];
	/** When the leader first saw each release. */
	readonly releases: readonly ObservedRelease[];
	readonly nowMs: number;
	readonly atMs: WallClockMs;
	readonly cfg: MovesConfig;
};

/** When the leader first saw a release. */
export type ObservedRelease = {
	readonly worker: WorkerId;
	readonly epoch: number;
	/** The leader's applied log index. */
	readonly index: number;
	/** On the leader's monotonic clock. */
	readonly seenAtMs: number;
};
