/**
 * Ownership of idempotency keys. A key has one owner in its home data centre; the owner's record
 * stands on a second entry host, or is synced to disk, before the first byte goes to a minion.
 */
import type {
	DataCentreId, JobId, MinionId, MonotonicMs, NodeId,
} from '@samphiremill/common';
import type {Map as ImmutableMap} from 'immutable';
import type {JobOutcome} from '../jobs/types.js';

/** A team and its idempotency key as one name; teams do not share a name space. */
export type ClaimName = string;

/** An answer kept for resends. */
export type StoredAnswer = {
	readonly contentType: string;
	/** The whole body in base64. */
	readonly bodyBase64: string;
};

/** How far a claimed job has come, as far as its owner knows. */
export type ClaimStage
	/** Nothing was sent to any minion. */
	= | {readonly type: 'claimed'}
	/** The first byte may have gone to a minion. */
		| {readonly type: 'started'; readonly minion: MinionId; readonly attempt: number}
		| {readonly type: 'finished'; readonly outcome: JobOutcome; readonly answer?: StoredAnswer}
	/** The entry host that ran it is gone and nobody knows the outcome. */
		| {readonly type: 'lost'};

/** The owner's record of one key. */
export type ClaimRecord = {
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	/** The entry host that runs the job. */
	readonly claimer: NodeId;
	readonly stage: ClaimStage;
	/** Grows with every change of the record, so that a late copy does not replace a newer one. */
	readonly version: number;
	readonly changedAtMs: MonotonicMs;
};

/** What the owner tells an entry host that asked for a key. */
export type OwnerAnswer
	= | {readonly type: 'granted'}
		| {readonly type: 'replay'; readonly outcome: JobOutcome; readonly answer?: StoredAnswer}
		| {readonly type: 'conflict'}
	/** Another send of the key is under way; the outcome follows. */
		| {readonly type: 'inProgress'}
		| {readonly type: 'unknown'};

/** The committed members of one data centre. */
export type ClaimView = {
	readonly dataCentre: DataCentreId;
	readonly epoch: number;
	readonly members: readonly NodeId[];
};

/** A job of this node that holds or wants a key. */
export type ActiveClaim = {
	readonly job: JobId;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly isFirstSend: boolean;
	/** The owner has allowed the first byte of an attempt. */
	readonly hasStarted: boolean;
	/** What this node has asked the owner and not heard back. */
	readonly waitingFor:
		| {readonly type: 'nothing'}
		/** `isInProgress` once the owner said that another send of the key is under way. */
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

/** A start that the owner confirms once the second copy is confirmed. */
export type AwaitedCopy = {
	readonly name: ClaimName;
	readonly version: number;
	readonly attempt: number;
	readonly sentAtMs: MonotonicMs;
	/** How many other members were tried; the next resend goes to the next one. */
	readonly tries: number;
};

/** Keys whose records may all have been lost with their holders. */
export type Quarantine = {
	readonly members: readonly NodeId[];
	readonly lost: readonly NodeId[];
	readonly untilMs: MonotonicMs;
};

/** Everything this node keeps of claims. */
export type ClaimsState = {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	readonly views: ImmutableMap<DataCentreId, ClaimView>;
	/** False while the configuration lease is not fresh: another owner may have been appointed. */
	readonly isConfigurationFresh: boolean;
	/** Before this moment the node answers for no key that it took over. */
	readonly servesFromMs: MonotonicMs;
	/** Members whose records for this node's ranges have not arrived since the view changed. */
	readonly awaitedHandovers: readonly NodeId[];
	readonly handoverSentAtMs: MonotonicMs;
	/** The members before the hand-overs under way began, and who was lost since. */
	readonly handoverLosses: {readonly members: readonly NodeId[]; readonly lost: readonly NodeId[]} | undefined;
	/** This node has restarted and does not hold yet what it held before. */
	readonly isRecovering: boolean;
	readonly quarantines: readonly Quarantine[];
	readonly records: ImmutableMap<ClaimName, ClaimRecord>;
	readonly waiters: ImmutableMap<ClaimName, readonly ClaimWaiter[]>;
	readonly active: ImmutableMap<JobId, ActiveClaim>;
	readonly awaitedCopies: ImmutableMap<ClaimName, AwaitedCopy>;
};

/** What varies between deployments. */
export type ClaimsConfig = {
	/** Whether this node can sync records to disk. */
	readonly hasStore: boolean;
};

/** Asks the owner for a key. */
export type ClaimRequestMessage = {
	readonly type: 'claims/request';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	readonly isFirstSend: boolean;
};

/** Asks the owner to record, on two hosts, that the first byte is about to be sent. */
export type ClaimStartMessage = {
	readonly type: 'claims/start';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly job: JobId;
	readonly attempt: number;
	readonly minion: MinionId;
};

/** Tells the owner how the job ended. */
export type ClaimOutcomeMessage = {
	readonly type: 'claims/outcome';
	readonly epoch: number;
	readonly name: ClaimName;
	readonly bodyHash: string;
	readonly job: JobId;
	readonly outcome: JobOutcome;
	readonly answer?: StoredAnswer;
};

/** What entry hosts say to each other about claims. */
export type ClaimsMessage
	= | ClaimRequestMessage
		| {readonly type: 'claims/answer'; readonly job: JobId; readonly name: ClaimName; readonly answer: OwnerAnswer}
		| ClaimStartMessage
		| {readonly type: 'claims/startAnswer'; readonly job: JobId; readonly attempt: number; readonly ok: boolean}
		| ClaimOutcomeMessage
		| {readonly type: 'claims/outcomeKept'; readonly job: JobId}
		| {readonly type: 'claims/copy'; readonly epoch: number; readonly record: ClaimRecord}
		| {readonly type: 'claims/copied'; readonly name: ClaimName; readonly version: number}
		/** The owner asks the entry host that holds a claim whether it still knows the job. */
		| {readonly type: 'claims/query'; readonly job: JobId; readonly name: ClaimName}
		/** The sender does not run the job, and never will. */
		| {readonly type: 'claims/notActive'; readonly job: JobId; readonly name: ClaimName}
		| {readonly type: 'claims/handoverRequest'; readonly epoch: number}
		| {
			readonly type: 'claims/handover';
			readonly epoch: number;
			readonly records: readonly ClaimRecord[];
			/** How long keys that the sender does not know may yet have been run, in milliseconds. */
			readonly quarantineRemainingMs: number;
		};

/** A job of this node wants its key. */
export type ClaimWantedEvent = {
	readonly type: 'claims/wanted';
	readonly job: JobId;
	readonly name: ClaimName;
	readonly bodyHash: string;
	/** The caller states that it never sent this key before. */
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

/** A data centre's committed members changed, or this node has just learned them. */
export type ClaimViewChangedEvent = {
	readonly type: 'claims/viewChanged';
	readonly view: ClaimView;
	/** This node has restarted and lost what it held under this view. */
	readonly isRestart: boolean;
	readonly nowMs: MonotonicMs;
};

/** What happens to the claims part. */
export type ClaimsEvent
	= | ClaimWantedEvent
		| ClaimStartingEvent
		| ClaimEndedEvent
		| ClaimViewChangedEvent
		| {readonly type: 'claims/freshnessChanged'; readonly isFresh: boolean; readonly nowMs: MonotonicMs}
	/** An entry host was declared dead, or restarted and forgot its jobs. */
		| {readonly type: 'claims/nodeLost'; readonly node: NodeId; readonly nowMs: MonotonicMs}
		| {readonly type: 'claims/persisted'; readonly name: ClaimName; readonly version: number; readonly nowMs: MonotonicMs}
		/** This process has read back what it had on disk; what it was running then is lost. */
		| {readonly type: 'claims/restored'; readonly records: readonly ClaimRecord[]; readonly nowMs: MonotonicMs}
		| {readonly type: 'claims/tick'; readonly nowMs: MonotonicMs}
		| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: ClaimsMessage; readonly nowMs: MonotonicMs};

/** What the claims part asks of the shell and of the jobs part. */
export type ClaimsEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: ClaimsMessage}
	/** Sync the record to disk, then report `claims/persisted`. */
		| {readonly type: 'claims/persist'; readonly record: ClaimRecord}
		| {readonly type: 'claims/answered'; readonly job: JobId; readonly answer: OwnerAnswer}
		| {readonly type: 'claims/startRecorded'; readonly job: JobId; readonly attempt: number; readonly ok: boolean};
