import type {NodeId} from '@samphiremill/common';
import type {
	IndexedRequest, LogEntry, ReplicaFailure, RequestId, StoreId, VoterChange, VoterIdentity,
} from './types.js';

/** Requests a vote. A pre-vote only asks whether a vote would be granted and does not change the term. */
export type RequestVoteMessage = {
	readonly type: 'replica/requestVote';
	readonly clusterId: StoreId;
	readonly term: number;
	readonly isPreVote: boolean;
	/** True if the old leader requested this election, so that its lease does not forbid the vote. */
	readonly isTransfer: boolean;
	readonly lastIndex: number;
	readonly lastTerm: number;
};

/** Answers `replica/requestVote`. */
export type VoteMessage = {
	readonly type: 'replica/vote';
	readonly term: number;
	readonly isPreVote: boolean;
	readonly isGranted: boolean;
	readonly storeId: StoreId;
};

/** When a peer sent an answer, on the peer's own clock. The leader returns it unchanged. */
export type ConfirmationEcho = {
	/** Identifies the incarnation of the peer's process, because each one has a new clock. */
	readonly life: number;
	readonly sentAtMs: number;
};

/** Replicates the leader's entries; without entries, it is a heartbeat. */
export type AppendMessage<Command> = {
	readonly type: 'replica/append';
	readonly clusterId: StoreId;
	readonly term: number;
	readonly round: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	readonly commitIndex: number;
	/**
	 * Sent only while the leader lease holds. Nothing beyond `commitIndex` was committed when the peer sent the
	 * echoed answer.
	 */
	readonly confirms?: ConfirmationEcho;
};

/** Answers `replica/append`. */
export type AppendedMessage = {
	readonly type: 'replica/appended';
	readonly term: number;
	readonly round: number;
	readonly storeId: StoreId;
	readonly isAccepted: boolean;
	/** The index up to which entries are synced and match the leader's log; 0 if the message was rejected. */
	readonly matchIndex: number;
	/**
	 * The index up to which entries are in memory and match the leader's log. If the message was rejected, the
	 * leader continues after this index.
	 */
	readonly receivedIndex: number;
	readonly echo: ConfirmationEcho;
};

/** Tells a node that the entries it needs are compacted, and which snapshot replaces them. */
export type SnapshotOfferMessage = {
	readonly type: 'replica/snapshotOffer';
	readonly index: number;
	readonly length: number;
};

/** Requests one chunk of a snapshot. */
export type PullSnapshotMessage = {
	readonly type: 'replica/pullSnapshot';
	readonly index: number;
	readonly offset: number;
};

/** One chunk of a snapshot. */
export type SnapshotChunkMessage = {
	readonly type: 'replica/snapshotChunk';
	readonly index: number;
	readonly term: number;
	readonly clusterId: StoreId;
	readonly voters: readonly VoterIdentity[];
	/** Sent with the first chunk; empty in the others. */
	readonly requests: readonly IndexedRequest[];
	readonly offset: number;
	readonly length: number;
	readonly data: string;
};

/** Transfers leadership: the receiver starts an election at once. */
export type TimeoutNowMessage = {
	readonly type: 'replica/timeoutNow';
	readonly term: number;
};

/** Forwards a proposal to the leader. */
export type ForwardMessage<Command> = {
	readonly type: 'replica/forward';
	readonly requestId: RequestId;
	readonly command: Command;
};

/** Forwards a voter change to the leader. */
export type ForwardVoterChangeMessage = {
	readonly type: 'replica/forwardVoterChange';
	readonly requestId: RequestId;
	readonly change: VoterChange;
};

/** Answers `replica/forward` and `replica/forwardVoterChange`. */
export type ForwardedMessage = {
	readonly type: 'replica/forwarded';
	readonly requestId: RequestId;
	readonly outcome:
		| {readonly type: 'committed'; readonly index: number}
		| {readonly type: 'notLeader'; readonly leader: NodeId | undefined}
		| {readonly type: 'failed'; readonly failure: ReplicaFailure};
};

/** Asks the leader for the index that a confirmed read must wait for. */
export type ReadRequestMessage = {
	readonly type: 'replica/readRequest';
	readonly requestId: RequestId;
};

/** Answers `replica/readRequest`. */
export type ReadAnswerMessage = {
	readonly type: 'replica/readAnswer';
	readonly requestId: RequestId;
	readonly index: number;
};

/** Renews an observer's subscription and requests the entries after `lastIndex`. */
export type PullMessage = {
	readonly type: 'replica/pull';
	/**
	 * If present, the receiver answers with a `replica/confirmed` that carries this token. The token tells
	 * the observer when it asked.
	 */
	readonly token?: number;
	readonly lastIndex: number;
};

/** Sends committed entries to an observer. */
export type FeedMessage<Command> = {
	readonly type: 'replica/feed';
	readonly previousIndex: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	/** The sender's commit index. If it is beyond the entries, the receiver has to pull more. */
	readonly commitIndex: number;
	readonly clusterId: StoreId;
	readonly leader: NodeId | undefined;
};

/** Confirms that a quorum held nothing beyond this index after the request with this token was sent. */
export type ConfirmedMessage = {
	readonly type: 'replica/confirmed';
	readonly token: number;
	readonly index: number;
	readonly leader: NodeId | undefined;
};

/** Asks a voter for the last index of its log. */
export type PollMessage = {
	readonly type: 'replica/poll';
	readonly round: number;
};

/** Answers `replica/poll`. */
export type PollAnswerMessage = {
	readonly type: 'replica/pollAnswer';
	readonly round: number;
	readonly storeId: StoreId;
	readonly lastIndex: number;
};

/** Sent by an uninitialised initial voter to ask whether the cluster already exists. */
export type FormationQueryMessage = {
	readonly type: 'replica/formationQuery';
};

/** Answers `replica/formationQuery`. */
export type FormationAnswerMessage = {
	readonly type: 'replica/formationAnswer';
	readonly storeId: StoreId;
	/** The initial voter set; undefined if the sender is uninitialised as well. */
	readonly formed: {
		readonly clusterId: StoreId;
		readonly voters: readonly VoterIdentity[];
	} | undefined;
};

/** Messages that carry proposals, reads and voter changes between a node and the leader. */
export type RequestMessage<Command>
	= | ForwardMessage<Command>
		| ForwardVoterChangeMessage
		| ForwardedMessage
		| ReadRequestMessage
		| ReadAnswerMessage;

/** All messages between replicas. */
export type ReplicaMessage<Command>
	= | RequestVoteMessage
		| VoteMessage
		| AppendMessage<Command>
		| AppendedMessage
		| SnapshotOfferMessage
		| PullSnapshotMessage
		| SnapshotChunkMessage
		| TimeoutNowMessage
		| RequestMessage<Command>
		| PullMessage
		| FeedMessage<Command>
		| ConfirmedMessage
		| PollMessage
		| PollAnswerMessage
		| FormationQueryMessage
		| FormationAnswerMessage;
