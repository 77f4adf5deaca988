/**
 * Volatile knowledge: which entry hosts and minions are alive, as far as this node can tell.
 */
import type {
	DataCentreId, MinionId, MonotonicMs, NodeId, PoolId, RegionId, WorkerId,
} from '@samphiremill/common';

/** Where an entry host is reached, from settings. */
export type NodeAddress = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	/** An IP number. */
	readonly host: string;
	readonly peerPort: number;
	readonly isVoter: boolean;
};

/** What this node believes of another entry host. */
export type NodeHealth = 'alive' | 'suspect' | 'dead' | 'left';

/** A minion as it announced itself. */
export type MinionAnnouncement = {
	readonly minion: MinionId;
	/** Grows with every restart of the minion. */
	readonly incarnation: number;
	readonly worker: WorkerId;
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	/** An IP number. */
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly connections: number;
};

/** A minion as this node knows it. */
export type KnownMinion = MinionAnnouncement & {
	/** `leaving` gets no new work; `silent` has not renewed within its lease. */
	readonly condition: 'ready' | 'leaving' | 'silent';
	readonly renewedAtMs: MonotonicMs;
};

/**
 * How a worker stands: `up` has a minion within its lease, `silent` had one whose lease ran out,
 * `unknown` was never seen, or its data centre's summary is out of date.
 */
export type WorkerCondition = 'up' | 'silent' | 'unknown';

/** One worker as this node knows it. */
export type FleetWorker = {
	readonly worker: WorkerId;
	/** The pool that the worker's minions announced; the owner by record is in `HostOwnership`. */
	readonly pool: PoolId;
	readonly dataCentre: DataCentreId;
	readonly condition: WorkerCondition;
	/** When a minion of the worker was last known to be alive, on this node's clock. */
	readonly lastSeenAtMs: MonotonicMs;
};

/** Every worker that this node has heard of, in order of id. A worker that is absent is unknown. */
export type FleetView = {
	readonly workers: readonly FleetWorker[];
};
