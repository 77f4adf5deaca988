/**
 * Control records, which are replicated to every entry host, and the commands that change them. Records
 * are held in one internal form; documents of both schema versions are converted to it.
 */
import type {
	ChangeId,
	DataCentreId,
	Finding,
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
import type {Map as ImmutableMap, OrderedMap} from 'immutable';
import type {PartCommand, PartStates} from './parts.js';
import type {V1Document, V1Kind} from './schema/v1-schema.js';

/** A group of hosts that serve the same queues, with its disruption budget. */
export type PoolRecord = {
	readonly kind: 'pool';
	readonly id: PoolId;
	/** The maximum number of hosts that may be unavailable at the same time, planned and unplanned outages together. */
	readonly maximumUnavailableHosts: number;
	/** Whether the pool lends its hosts to overloaded pools and takes them back afterwards. */
	readonly isSpare: boolean;
};

/** A customer of the fleet. */
export type TeamRecord = {
	readonly kind: 'team';
	readonly id: TeamId;
	readonly displayName: string;
};

/** A team's weight in the division of capacity when the fleet is full. */
export type ShareRecord = {
	readonly kind: 'share';
	readonly id: TeamId;
	readonly weight: number;
};

/** The maximum number of jobs that a team may run fleet-wide. */
export type LimitRecord = {
	readonly kind: 'limit';
	readonly id: TeamId;
	readonly maximumRunningJobs: number;
};

/** An access key of a team. Only the hash of the secret is stored. */
export type KeyRecord = {
	readonly kind: 'key';
	readonly id: KeyId;
	readonly team: TeamId;
	/** The SHA-256 hash of the secret in hexadecimal. */
	readonly secretHash: string;
};

/** A queue of jobs, served by the hosts of one pool. */
export type QueueRecord = {
	readonly kind: 'queue';
	readonly id: QueueId;
	readonly pool: PoolId;
	/** An open queue accepts jobs without a key; they are charged to the team `open`. */
	readonly access: 'open' | 'keyed';
	readonly maximumBodyBytes: number;
	/** The time from submission to answer that a job may take if the caller sets no deadline. */
	readonly defaultDeadlineMs: number;
};

/** A machine of the fleet. Its current pool is in `HostOwnership`. */
export type WorkerRecord = {
	readonly kind: 'worker';
	readonly id: WorkerId;
	readonly dataCentre: DataCentreId;
	readonly rack: RackId;
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
	/** The pool that the worker belongs to while it is not lent to another pool. */
	readonly homePool: PoolId;
};

/** The desired state of a maintenance wave, as set by an operator. */
export type WaveRecord = {
	readonly kind: 'wave';
	readonly id: WaveId;
	readonly pools: readonly PoolId[];
	/** The hosts to maintain. If absent, all hosts of the pools. */
	readonly workers?: readonly WorkerId[];
	readonly desired: 'running' | 'paused' | 'aborted';
	/** The maximum number of the wave's hosts that may be out of service at once. Each pool's budget applies as well. */
	readonly maximumHostsAside: number;
};

/** A record that operators write, in the internal form. */
export type ControlRecord
	= | PoolRecord
		| TeamRecord
		| ShareRecord
		| LimitRecord
		| KeyRecord
		| QueueRecord
		| WorkerRecord
		| WaveRecord;

export type RecordKind = ControlRecord['kind'];

/** The supported schema versions. */
export type ApiVersion = 'samphiremill/v1' | 'samphiremill/v2';

/** A record with its revision, which clients send in `If-Match`. */
export type VersionedRecord = {
	readonly record: ControlRecord;
	/** Counts the changes of this record, from 1. */
	readonly revision: number;
	readonly changedAtMs: WallClockMs;
	readonly changedBy: string;
	readonly changeId: ChangeId;
};

/** The pool that owns a host. The epoch grows with every change of owner. */
export type HostOwnership = {
	readonly worker: WorkerId;
	readonly epoch: number;
	readonly phase:
		| {readonly type: 'member'; readonly pool: PoolId}
		/** No new jobs are dispatched; running jobs may finish. The host still counts towards `pool`. */
		| {readonly type: 'releasing'; readonly pool: PoolId; readonly to: PoolId};
};

/** The committed members of a data centre. Owners of keys and minions are chosen by rank among them. */
export type DataCentreView = {
	readonly dataCentre: DataCentreId;
	readonly epoch: number;
	readonly members: readonly NodeId[];
};

/** Writes one record, at an operator's request. */
export type PutRecordCommand = {
	readonly type: 'control/putRecord';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly record: ControlRecord;
	/** The revision that the writer read. 0 means that the record must not exist; absent means any revision. */
	readonly expectedRevision?: number;
};

/** Deletes one record, at an operator's request. Deleting a key revokes it. */
export type DeleteRecordCommand = {
	readonly type: 'control/deleteRecord';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly kind: RecordKind;
	readonly id: string;
	readonly expectedRevision?: number;
};

/** Changes the members of a data centre. Proposed by the leader. */
export type SetViewCommand = {
	readonly type: 'control/setView';
	readonly dataCentre: DataCentreId;
	readonly expectedEpoch: number;
	readonly members: readonly NodeId[];
};

/** One write of a `WriteRecordsCommand`. */
export type RecordWrite
	= | {
		readonly type: 'put';
		readonly record: ControlRecord;
		readonly expectedRevision?: number;
		/** Whether the write creates a new revision even if the record is equal. */
		readonly isRenewal?: true;
	}
	| {readonly type: 'delete'; readonly kind: RecordKind; readonly id: string; readonly expectedRevision?: number}
	/** Changes nothing, but fails if the record does not have the expected revision. */
	| {
		readonly type: 'expect';
		readonly kind: RecordKind;
		readonly id: string;
		readonly expectedRevision?: number;
		/** Whether the record must exist. */
		readonly isRequired?: true;
	};

/** Applies several writes atomically. */
export type WriteRecordsCommand = {
	readonly type: 'control/writeRecords';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly writes: readonly RecordWrite[];
};

/**
 * Writes a document of the older schema version, at an operator's request. The document is merged with
 * the records when the command is applied, so that it does not undo changes committed since it was read.
 */
export type PutV1DocumentCommand = {
	readonly type: 'control/putV1Document';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly document: V1Document;
	/** The revisions that the writer read, one for each record that the document covers. */
	readonly expectedRevisions?: readonly number[];
};

/** Deletes all records that a document of the older schema version covers, at an operator's request. */
export type DeleteV1DocumentCommand = {
	readonly type: 'control/deleteV1Document';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly kind: V1Kind;
	readonly id: string;
	readonly expectedRevisions?: readonly number[];
};

/**
 * Sets the desired state of a wave, at an operator's request. Always creates a new revision of the record,
 * since a wave that paused itself resumes only on a new revision.
 */
export type SetWaveDesiredCommand = {
	readonly type: 'control/setWaveDesired';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly wave: WaveId;
	readonly desired: WaveRecord['desired'];
};

/** Moves a worker permanently to another pool, at an operator's request. */
export type SetHomePoolCommand = {
	readonly type: 'control/setHomePool';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly worker: WorkerId;
	readonly pool: PoolId;
};

/** A command that operators send. It carries a change id, so that it can be resent safely. */
export type OperatorCommand
	= | PutRecordCommand
		| DeleteRecordCommand
		| WriteRecordsCommand
		| PutV1DocumentCommand
		| DeleteV1DocumentCommand
		| SetWaveDesiredCommand
		| SetHomePoolCommand;

/** A command of the control state machine or of one of its parts. */
export type ControlCommand = OperatorCommand | SetViewCommand | PartCommand;

/** The effect of a command on one record. */
export type RecordChange = {
	readonly kind: RecordKind;
	readonly id: string;
	/** The revision after the change. For a deleted record, the revision of the deletion. */
	readonly revision: number;
	readonly outcome: 'created' | 'updated' | 'unchanged' | 'deleted';
};

/** A record whose revision differs from the one that the writer read. */
export type RecordConflict = {
	readonly kind: RecordKind;
	readonly id: string;
	readonly expectedRevision: number;
	/** The current record; absent if there is none. */
	readonly current?: VersionedRecord;
};

/** The result of a command. */
export type ControlAnswer
	= | {readonly type: 'accepted'; readonly changes: readonly RecordChange[]}
		| {readonly type: 'conflict'; readonly conflicts: readonly RecordConflict[]}
		| {readonly type: 'invalid'; readonly findings: readonly Finding[]}
		| {readonly type: 'notFound'; readonly kind: RecordKind; readonly id: string}
	/** The change id was already used for a different change. */
		| {readonly type: 'changeIdReused'}
	/** A command of a planner was applied. */
		| {readonly type: 'applied'}
	/** A command of a planner is not valid in the current state. */
		| {readonly type: 'rejected'; readonly reason: string; readonly message: string};

/** One change of a record. `record` is absent for a deletion. */
export type HistoryEntry = {
	readonly revision: number;
	readonly changedAtMs: WallClockMs;
	readonly changedBy: string;
	readonly changeId: ChangeId;
	readonly record?: ControlRecord;
};

/** The answer to the first command with a change id, stored to answer resends. */
export type AppliedChange = {
	/** Distinguishes a resend of the same change from a different change with the same id. */
	readonly fingerprint: string;
	readonly answer: ControlAnswer;
};

/** The state that results from all committed commands. Immutable. */
export type ControlState = PartStates & {
	readonly records: ImmutableMap<RecordKind, ImmutableMap<string, VersionedRecord>>;
	/** The latest changes of each record, oldest first, by `kind/id`. */
	readonly history: ImmutableMap<string, readonly HistoryEntry[]>;
	/** The deletion revisions of deleted records whose history is kept, by `kind/id`, in order of deletion. */
	readonly deleted: OrderedMap<string, number>;
	/** The answers to the latest changes, oldest first. */
	readonly changes: OrderedMap<ChangeId, AppliedChange>;
	readonly keyBySecretHash: ImmutableMap<string, KeyId>;
	readonly ownership: ImmutableMap<WorkerId, HostOwnership>;
	/** The last owners of deleted workers, in order of deletion. */
	readonly retiredOwnership: OrderedMap<WorkerId, HostOwnership>;
	/** An upper bound of the epochs of all ownerships that were dropped from `retiredOwnership`. */
	readonly highestRetiredEpoch: number;
	readonly views: ImmutableMap<DataCentreId, DataCentreView>;
};

/** The next state and the result of the command. */
export type ControlStep = {
	readonly state: ControlState;
	readonly answer: ControlAnswer;
};
