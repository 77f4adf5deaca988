/**
 * The control records that every entry host shares, in the internal form that both
 * schema versions are read into, and the commands that change them.
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

/** One write among those of a command. */
export type RecordWrite
	= | {
		readonly type: 'put';
		readonly record: ControlRecord;
		readonly expectedRevision?: number;
		/** Counts as a change even if the record stays as it is. */
		readonly isRenewal?: true;
	}
	| {readonly type: 'delete'; readonly kind: RecordKind; readonly id: string; readonly expectedRevision?: number}
	/** Changes nothing, but the revision must be the expected one. */
	| {
		readonly type: 'expect';
		readonly kind: RecordKind;
		readonly id: string;
		readonly expectedRevision?: number;
		/** The record must exist. */
		readonly isRequired?: true;
	};

/** Several writes that are all accepted or all refused. */
export type WriteRecordsCommand = {
	readonly type: 'control/writeRecords';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly writes: readonly RecordWrite[];
};

/**
 * An operator's write in the older schema version. It is merged with the records when it is applied,
 * so that no change between its reading and its application is undone.
 */
export type PutV1DocumentCommand = {
	readonly type: 'control/putV1Document';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly document: V1Document;
	/** The revisions that the writer saw, one for each record that the document stands for. */
	readonly expectedRevisions?: readonly number[];
};

/** An operator's removal of all records that a document of the older schema version stands for. */
export type DeleteV1DocumentCommand = {
	readonly type: 'control/deleteV1Document';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly kind: V1Kind;
	readonly id: string;
	readonly expectedRevisions?: readonly number[];
};

/** An operator's order to a wave. It renews the record, since a wave that paused itself waits for that. */
export type SetWaveDesiredCommand = {
	readonly type: 'control/setWaveDesired';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly wave: WaveId;
	readonly desired: WaveRecord['desired'];
};

/** An operator's order to move a worker to another pool for good. */
export type SetHomePoolCommand = {
	readonly type: 'control/setHomePool';
	readonly changeId: ChangeId;
	readonly actor: string;
	readonly acceptedAtMs: WallClockMs;
	readonly worker: WorkerId;
	readonly pool: PoolId;
};

/** The commands that operators send. Each carries a change id, so that resends are safe. */
export type OperatorCommand
	= | PutRecordCommand
		| DeleteRecordCommand
		| WriteRecordsCommand
		| PutV1DocumentCommand
		| DeleteV1DocumentCommand
		| SetWaveDesiredCommand
		| SetHomePoolCommand;

/** Every command of the control state machine, those of its parts included. */
export type ControlCommand = OperatorCommand | SetViewCommand | PartCommand;

/** What became of one record. */
export type RecordChange = {
	readonly kind: RecordKind;
	readonly id: string;
	/** The revision after the change; of a deleted record, the revision of its deletion. */
	readonly revision: number;
	readonly outcome: 'created' | 'updated' | 'unchanged' | 'deleted';
};

/** A record whose revision is not the one that the writer saw. */
export type RecordConflict = {
	readonly kind: RecordKind;
	readonly id: string;
	readonly expectedRevision: number;
	/** The record that won; absent where there is none. */
	readonly current?: VersionedRecord;
};

/** What a command came to. */
export type ControlAnswer
	= | {readonly type: 'accepted'; readonly changes: readonly RecordChange[]}
		| {readonly type: 'conflict'; readonly conflicts: readonly RecordConflict[]}
		| {readonly type: 'invalid'; readonly findings: readonly Finding[]}
		| {readonly type: 'notFound'; readonly kind: RecordKind; readonly id: string}
	/** The change id was used before, for another change. */
		| {readonly type: 'changeIdReused'}
	/** A planner's command took effect. */
		| {readonly type: 'applied'}
	/** A planner's command no longer fits the state. */
		| {readonly type: 'rejected'; readonly reason: string; readonly message: string};

/** One change of one record. A deletion has no record. */
export type HistoryEntry = {
	readonly revision: number;
	readonly changedAtMs: WallClockMs;
	readonly changedBy: string;
	readonly changeId: ChangeId;
	readonly record?: ControlRecord;
};

/** The first answer to a change id, kept for resends. */
export type AppliedChange = {
	/** Tells a resend of the same change from another change under the same id. */
	readonly fingerprint: string;
	readonly answer: ControlAnswer;
};

/** Everything that the committed commands have come to. Never mutated. */
export type ControlState = PartStates & {
	readonly records: ImmutableMap<RecordKind, ImmutableMap<string, VersionedRecord>>;
	/** The latest changes of each record, oldest first, by `kind/id`. */
	readonly history: ImmutableMap<string, readonly HistoryEntry[]>;
	/** Deleted records whose history is kept, by `kind/id`, the longest deleted first. */
	readonly deleted: OrderedMap<string, number>;
	/** The answers of the latest changes, oldest first. */
	readonly changes: OrderedMap<ChangeId, AppliedChange>;
	readonly keyBySecretHash: ImmutableMap<string, KeyId>;
	readonly ownership: ImmutableMap<WorkerId, HostOwnership>;
	/** The last owners of deleted workers, the longest deleted first. */
	readonly retiredOwnership: OrderedMap<WorkerId, HostOwnership>;
	/** No ownership that was dropped from `retiredOwnership` had a higher epoch. */
	readonly highestRetiredEpoch: number;
	readonly views: ImmutableMap<DataCentreId, DataCentreView>;
};

/** The next state and what the command came to. */
export type ControlStep = {
	readonly state: ControlState;
	readonly answer: ControlAnswer;
};
