/**
 * The control records that every entry host shares, in the internal form that both
 * schema versions are read into, and the commands that change them.
 */
import type {
	ChangeId,
	DataCentreId,
	KeyId,
	NodeId,
	PoolId,
	QueueId,
	RackId,
	TeamId,
	WallClockMs,
	WaveId,
	WorkerId,
} from '@samphiremill/common';

/** Hosts that serve the same queues, and how many of them may be unavailable at once. */
export type PoolRecord = {
	readonly kind: 'pool';
	readonly id: PoolId;
	/** The most hosts that may be unavailable at any moment, planned and unplanned together. */
	readonly maximumUnavailableHosts: number;
	/** A spare pool lends its hosts to pools under pressure and takes them back. */
	readonly isSpare: boolean;
};

/** One customer of the fleet. */
export type TeamRecord = {
	readonly kind: 'team';
	readonly id: TeamId;
	readonly displayName: string;
};

/** A team's weight when the fleet is full. */
export type ShareRecord = {
	readonly kind: 'share';
	readonly id: TeamId;
	readonly weight: number;
};

/** A team's upper limit on what it may run fleet-wide. */
export type LimitRecord = {
	readonly kind: 'limit';
	readonly id: TeamId;
	readonly maximumRunningJobs: number;
};

/** An access key of a team. Only the hash of the secret is kept. */
export type KeyRecord = {
	readonly kind: 'key';
	readonly id: KeyId;
	readonly team: TeamId;
	/** SHA-256 of the secret in hexadecimal. */
	readonly secretHash: string;
};

/** A queue of jobs, served by the hosts of one pool. */
export type QueueRecord = {
	readonly kind: 'queue';
	readonly id: QueueId;
	readonly pool: PoolId;
	/** An open queue takes work without a key, on account of the team `open`. */
	readonly access: 'open' | 'keyed';
	readonly maximumBodyBytes: number;
	/** How long a job may take from submission to answer, where the caller names no deadline. */
	readonly defaultDeadlineMs: number;
};

/** One machine of the fleet. Its pool at this moment is in `HostOwnership`. */
export type WorkerRecord = {
	readonly kind: 'worker';
	readonly id: WorkerId;
	readonly dataCentre: DataCentreId;
	readonly rack: RackId;
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
	/** The pool that the worker belongs to when nothing has been lent. */
	readonly homePool: PoolId;
};

/** What an operator wants of a maintenance wave. */
export type WaveRecord = {
	readonly kind: 'wave';
	readonly id: WaveId;
	readonly pools: readonly PoolId[];
	/** The hosts to maintain; absent means every host of the pools. */
	readonly workers?: readonly WorkerId[];
	readonly desired: 'running' | 'paused' | 'aborted';
	/** The most hosts of the wave that may be set aside at once, besides each pool's budget. */
	readonly maximumHostsAside: number;
};

/** Every record an operator writes, in the internal form. */
export type ControlRecord
	= | PoolRecord
		| TeamRecord
		| ShareRecord
		| LimitRecord
		| KeyRecord
		| QueueRecord
		| WorkerRecord
		| WaveRecord;

/** The name of a record's kind. */
export type RecordKind = ControlRecord['kind'];

/** The schema versions in force side by side. */
export type ApiVersion = 'samphiremill/v1' | 'samphiremill/v2';

/** A record with the revision that `If-Match` names. */
export type VersionedRecord = {
	readonly record: ControlRecord;
	/** Counts the changes of this record, from 1. */
	readonly revision: number;
	readonly changedAtMs: WallClockMs;
	readonly changedBy: string;
	readonly changeId: ChangeId;
};

/** Which pool owns a host, under an epoch that grows with every change of owner. */
export type HostOwnership = {
	readonly worker: WorkerId;
	readonly epoch: number;
	readonly phase:
		| {readonly type: 'member'; readonly pool: PoolId}
		/** No new work is dispatched; what runs may finish. The host still counts as the pool's. */
		| {readonly type: 'releasing'; readonly pool: PoolId; readonly to: PoolId};
};

/** The committed members of one data centre, from which owners of keys and minions are ranked. */
export type DataCentreView = {
	readonly dataCentre: DataCentreId;
	readonly epoch: number;
	readonly members: readonly NodeId[];
};

/** An operator's write of one record. */
export type PutRecordCommand = {
	readonly type: 'control/putRecord';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly record: ControlRecord;
	/** The revision that the writer saw; 0 means that the record must not exist; absent means any. */
	readonly expectedRevision?: number;
};

/** An operator's removal of one record. A key's removal is its withdrawal. */
export type DeleteRecordCommand = {
	readonly type: 'control/deleteRecord';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly kind: RecordKind;
	readonly id: string;
	readonly expectedRevision?: number;
};

/** The leader's change of a data centre's members. */
export type SetViewCommand = {
	readonly type: 'control/setView';
	readonly dataCentre: DataCentreId;
	readonly expectedEpoch: number;
	readonly members: readonly NodeId[];
};
