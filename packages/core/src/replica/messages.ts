import type {NodeId} from '@samphiremill/common';
import type {
	IndexedRequest, LogEntry, ReplicaFailure, RequestId, StoreId, VoterChange, VoterIdentity,
} from './types.js';

/** Asks for a vote. A pre-vote asks only whether a vote would be given, and changes no term. */
export type RequestVoteMessage = {
	readonly type: 'replica/requestVote';
	readonly clusterId: StoreId;
	readonly term: number;
	readonly isPreVote: boolean;
	/** The old leader asked for this election, so its lease does not forbid it. */
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

/** When a peer sent an answer, in its own time. The leader hands it back unread. */
export type ConfirmationEcho = {
	/** Tells the lives of the peer's process apart, since each counts its time anew. */
	readonly life: number;
	readonly sentAtMs: number;
};

/** The leader's entries; without entries, its heartbeat. */
export type AppendMessage<Command> = {
	readonly type: 'replica/append';
	readonly clusterId: StoreId;
	readonly term: number;
	readonly round: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	readonly commitIndex: number;
	/** Sent only under the leader lease: nothing beyond `commitIndex` was committed when the peer sent this. */
	readonly confirms?: ConfirmationEcho;
};

/** Answers `replica/append`. */
export type AppendedMessage = {
	readonly type: 'replica/appended';
	readonly term: number;
	readonly round: number;
	readonly storeId: StoreId;
	readonly isAccepted: boolean;
	/** Synced up to here and equal to the leader's log. 0 when refused. */
	readonly matchIndex: number;
	/** In memory up to here and equal to the leader's log; when refused, where to go on from. */
	readonly receivedIndex: number;
	readonly echo: ConfirmationEcho;
};

/** Tells a node that the entries it needs are gone, and which snapshot replaces them. */
export type SnapshotOfferMessage = {
	readonly type: 'replica/snapshotOffer';
	readonly index: number;
	readonly length: number;
};

/** Asks for one chunk of a snapshot. */
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
	/** Only with the first chunk. */
	readonly requests: readonly IndexedRequest[];
	readonly offset: number;
	readonly length: number;
	readonly data: string;
};

/** The leader hands over: the receiver starts an election at once. */
export type TimeoutNowMessage = {
	readonly type: 'replica/timeoutNow';
	readonly term: number;
};

/** A proposal on its way to the leader. */
export type ForwardMessage<Command> = {
	readonly type: 'replica/forward';
	readonly requestId: RequestId;
	readonly command: Command;
};

/** A voter change on its way to the leader. */
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

/** Asks the leader for an index that a confirmed read must wait for. */
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

/** An observer renews its subscription and asks for what it lacks. */
export type PullMessage = {
	readonly type: 'replica/pull';
	/** Asks for a `replica/confirmed` with this token, so that the observer knows when it asked. */
	readonly token?: number;
	readonly lastIndex: number;
};

/** Committed entries for an observer. */
export type FeedMessage<Command> = {
	readonly type: 'replica/feed';
	readonly previousIndex: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	/** The sender's commit index; if it is beyond the entries, there is more to pull. */
	readonly commitIndex: number;
	readonly clusterId: StoreId;
	readonly leader: NodeId | undefined;
};

/** A quorum held nothing beyond this index after the request with this token was sent. */
export type ConfirmedMessage = {
	readonly type: 'replica/confirmed';
	readonly token: number;
	readonly index: number;
	readonly leader: NodeId | undefined;
};

/** Asks a voter for the end of its log. */
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

/** A blank initial voter asks whether a cluster exists. */
export type FormationQueryMessage = {
	readonly type: 'replica/formationQuery';
};

/** Answers `replica/formationQuery`. */
export type FormationAnswerMessage = {
	readonly type: 'replica/formationAnswer';
	readonly storeId: StoreId;
	/** The first voter set; absent when the sender is blank as well. */
	readonly formed: {
		readonly clusterId: StoreId;
		readonly voters: readonly VoterIdentity[];
	} | undefined;
};

/** Proposals, reads and voter changes on their way between a node and the leader. */
export type RequestMessage<Command>
	= | ForwardMessage<Command>
		| ForwardVoterChangeMessage
		| ForwardedMessage
		| ReadRequestMessage
		| ReadAnswerMessage;

/** Everything that replicas say to one another. */
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
