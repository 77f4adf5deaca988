/**
 * Ownership of idempotency keys. Each key has one owner in its home data centre. The owner's record is
 * copied to a second entry host, or synced to disk, before the first byte of the job goes to a minion.
 */
import type {
	DataCentreId, JobId, MinionId, MonotonicMs, NodeId,
} from '@samphiremill/common';
import type {Map as ImmutableMap} from 'immutable';
import type {JobOutcome} from '../jobs/types.js';

/** A team and its idempotency key in one string. Each team has its own name space. */
export type ClaimName = string;

/** An answer stored so that resends of the key receive it again. */
export type StoredAnswer = {
	readonly contentType: string;
	/** The complete body in base64. */
	readonly bodyBase64: string;
};

/** The progress of a claimed job, as far as its owner knows. */
export type ClaimStage
	/** No byte has been sent to a minion. */
	= | {readonly type: 'claimed'}
	/** The first byte may have been sent to a minion. */
		| {readonly type: 'started'; readonly minion: MinionId; readonly attempt: number}
		| {readonly type: 'finished'; readonly outcome: JobOutcome; readonly answer?: StoredAnswer}
	/** The entry host that ran the job was lost, and the outcome is unknown. */
		| {readonly type: 'lost'};

/** The owner's record of one key. */
export type ClaimRecord = {
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	/** The entry host that runs the job. */
	readonly claimer: NodeId;
	readonly stage: ClaimStage;
	/** Increases with every change of the record, so that a late copy does not replace a newer one. */
	readonly version: number;
	/** The recorded start did not happen, so the key is free. Kept, so that older copies of the record do not count. */
	readonly isFreed?: boolean;
	/** The epoch of the view under which an owner last changed the record; earlier builds keep none. */
	readonly epoch?: number;
	readonly changedAtMs: MonotonicMs;
};

/** The owner's answer to an entry host that requested a key. */
export type OwnerAnswer
	= | {readonly type: 'granted'}
		| {readonly type: 'replay'; readonly outcome: JobOutcome; readonly answer?: StoredAnswer}
		| {readonly type: 'conflict'}
	/** Another send of the key is in progress. Its outcome follows. */
		| {readonly type: 'inProgress'}
		| {readonly type: 'unknown'};

/** The committed members of one data centre. */
export type ClaimView = {
	readonly dataCentre: DataCentreId;
	readonly epoch: number;
	readonly members: readonly NodeId[];
};

/** A job of this node that holds or requests a key. */
export type ActiveClaim = {
	readonly job: JobId;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly isFirstSend: boolean;
	/** The owner has permitted the first byte of an attempt. */
	readonly hasStarted: boolean;
	/** The request to the owner that is still unanswered. */
	readonly waitingFor:
		| {readonly type: 'nothing'}
		/** `isInProgress` is set once the owner has answered that another send of the key is in progress. */
		| {readonly type: 'claim'; readonly isInProgress: boolean}
		| {readonly type: 'start'; readonly attempt: number; readonly minion: MinionId}
		| {readonly type: 'outcomeKept'; readonly outcome: JobOutcome; readonly answer?: StoredAnswer};
	readonly sentAtMs: MonotonicMs;
};

/** An entry host that waits for the outcome of a job that another send of the key started. */
export type ClaimWaiter = {
	readonly node: NodeId;
	readonly job: JobId;
};

/** A second copy that is not confirmed yet. Once it is, the owner permits the start that waits for it. */
export type AwaitedCopy = {
	readonly name: ClaimName;
	readonly version: number;
	readonly attempt: number;
	readonly sentAtMs: MonotonicMs;
	/** How many members were tried so far. The next resend goes to the next member. */
	readonly tries: number;
};

/** Marks the keys whose records may be lost because every host that held them was lost. */
export type Quarantine = {
	readonly members: readonly NodeId[];
	readonly lost: readonly NodeId[];
	readonly untilMs: MonotonicMs;
};

/** The claims state of this node. */
export type ClaimsState = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	readonly views: ImmutableMap<DataCentreId, ClaimView>;
	/** False while the configuration lease is not fresh: another node may own the keys by now. */
	readonly isConfigurationFresh: boolean;
	/** Before this time the node answers for no key. */
	readonly servesFromMs: MonotonicMs;
	/** Members that have not handed over their records of this node's ranges since the view changed. */
	readonly awaitedHandovers: readonly NodeId[];
	readonly handoverSentAtMs: MonotonicMs;
	/** The members before the hand-overs in progress began, and those lost since then. */
	readonly handoverLosses: {readonly members: readonly NodeId[]; readonly lost: readonly NodeId[]} | undefined;
	/** This node has restarted and has not recovered its records yet. */
	readonly isRecovering: boolean;
	/** This process has not been told yet what the other members hold. It confirms no copies: they may still count on its earlier leave. */
	readonly isJoining: boolean;
	/** This process has begun to leave: it answers for no key and confirms no copy any more. */
	readonly isLeaving: boolean;
	/** Members that have not confirmed what this leaving node has handed over. */
	readonly awaitedLeaveConfirmations: readonly NodeId[];
	/** Members that have handed over all that they held and hold nothing new until they ask for hand-overs again. */
	readonly leftMembers: readonly NodeId[];
	/** This process began with all records that its earlier process held. */
	readonly hasKeptRecords: boolean;
	readonly quarantines: readonly Quarantine[];
	readonly records: ImmutableMap<ClaimName, ClaimRecord>;
	readonly waiters: ImmutableMap<ClaimName, readonly ClaimWaiter[]>;
	readonly active: ImmutableMap<JobId, ActiveClaim>;
	readonly awaitedCopies: ImmutableMap<ClaimName, AwaitedCopy>;
};

/** Settings that differ between deployments. */
export type ClaimsConfig = {
	/** Whether this node can sync records to disk. */
	readonly hasStore: boolean;
};

/** Requests a key from its owner. */
export type ClaimRequestMessage = {
	readonly type: 'claims/request';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	readonly isFirstSend: boolean;
};

/** Requests that the owner record, on two hosts, that the first byte is about to be sent. */
export type ClaimStartMessage = {
	readonly type: 'claims/start';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly job: JobId;
	readonly attempt: number;
	readonly minion: MinionId;
};

/** Reports the outcome of the job to the owner. */
export type ClaimOutcomeMessage = {
	readonly type: 'claims/outcome';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	readonly outcome: JobOutcome;
	readonly answer?: StoredAnswer;
};

/** The messages about claims between entry hosts. */
export type ClaimsMessage
	= | ClaimRequestMessage
		| {readonly type: 'claims/answer'; readonly job: JobId; readonly name: ClaimName; readonly answer: OwnerAnswer}
		| ClaimStartMessage
		| {readonly type: 'claims/startAnswer'; readonly job: JobId; readonly attempt: number; readonly ok: boolean}
		| ClaimOutcomeMessage
		| {readonly type: 'claims/outcomeKept'; readonly job: JobId}
		| {readonly type: 'claims/copy'; readonly epoch: number; readonly record: ClaimRecord}
		| {readonly type: 'claims/copied'; readonly name: ClaimName; readonly version: number}
		/** The owner asks the claimer whether it still knows the job. */
		| {readonly type: 'claims/query'; readonly job: JobId; readonly name: ClaimName}
		/** The sender does not run the job and will not run it later. */
		| {readonly type: 'claims/notActive'; readonly job: JobId; readonly name: ClaimName}
		| {readonly type: 'claims/handoverRequest'; readonly epoch: number}
		| {
			readonly type: 'claims/handover';
			readonly epoch: number;
			readonly records: readonly ClaimRecord[];
			/** How long a key that the sender does not know must be treated as possibly run, in milliseconds. */
			readonly quarantineRemainingMs: number;
			/** The sender leaves: these are all its records, and it will hold no others. */
			readonly isLeaving?: boolean;
		}
		/** The sender has merged all records of a leaving node. */
		| {readonly type: 'claims/leaveKept'; readonly epoch: number};

/** A job of this node requests its key. */
export type ClaimWantedEvent = {
	readonly type: 'claims/wanted';
	readonly job: JobId;
	readonly name: ClaimName;
	readonly bodyHash: string;
	/** The caller states that it has not sent this key before. */
	readonly isFirstSend: boolean;
	readonly nowMs: MonotonicMs;
};

/** A job of this node is about to send its first byte. */
export type ClaimStartingEvent = {
	readonly type: 'claims/starting';
	readonly job: JobId;
	readonly attempt: number;
	readonly minion: MinionId;
	readonly nowMs: MonotonicMs;
};

/** A job of this node ended. */
export type ClaimEndedEvent = {
	readonly type: 'claims/ended';
	readonly job: JobId;
	readonly outcome: JobOutcome;
	readonly answer?: StoredAnswer;
	readonly nowMs: MonotonicMs;
};

/** The committed members of a data centre changed, or this node has just learnt them. */
export type ClaimViewChangedEvent = {
	readonly type: 'claims/viewChanged';
	readonly view: ClaimView;
	/** This node has restarted. Unless it has kept its records, it has lost those that it held under this view. */
	readonly isRestart: boolean;
	readonly nowMs: MonotonicMs;
};

/** The events that the claims part handles. */
export type ClaimsEvent
	= | ClaimWantedEvent
		| ClaimStartingEvent
		| ClaimEndedEvent
		| ClaimViewChangedEvent
		| {readonly type: 'claims/freshnessChanged'; readonly isFresh: boolean; readonly nowMs: MonotonicMs}
	/** An entry host was declared dead, or restarted and lost its jobs. */
		| {readonly type: 'claims/nodeLost'; readonly node: NodeId; readonly nowMs: MonotonicMs}
		| {readonly type: 'claims/persisted'; readonly name: ClaimName; readonly version: number; readonly nowMs: MonotonicMs}
		/** This process has read its records from disk. The jobs that it ran before the restart are lost. */
		| {
			readonly type: 'claims/restored';
			readonly records: readonly ClaimRecord[];
			/** These are all records that the earlier process held when it ended. */
			readonly isComplete: boolean;
			readonly nowMs: MonotonicMs;
		}
		/** This node is about to stop, and runs no jobs any more. */
		| {readonly type: 'claims/leaving'; readonly nowMs: MonotonicMs}
		| {readonly type: 'claims/tick'; readonly nowMs: MonotonicMs}
		| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: ClaimsMessage; readonly nowMs: MonotonicMs};

/** The effects that the shell and the jobs part carry out for the claims part. */
export type ClaimsEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: ClaimsMessage}
	/** Syncs the record to disk, then reports `claims/persisted`. */
		| {readonly type: 'claims/persist'; readonly record: ClaimRecord}
		| {readonly type: 'claims/answered'; readonly job: JobId; readonly answer: OwnerAnswer}
		| {readonly type: 'claims/startRecorded'; readonly job: JobId; readonly attempt: number; readonly ok: boolean};
