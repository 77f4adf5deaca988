/**
 * The types of the replicated log. A majority of voters with disks agrees on one order of commands and passes
 * it on to every other node.
 */
import type {
	Brand, DataCentreId, NodeId, RandomSource,
} from '@samphiremill/common';
import type {List, Map as ImmutableMap} from 'immutable';
import type {ConfirmationEcho, ReplicaMessage} from './messages.js';

/**
 * Identifies one incarnation of a data folder. An emptied folder gets a new id, so it cannot act as the old
 * voter.
 */
export type StoreId = Brand<string, 'StoreId'>;
/** Identifies one proposal, read or voter change, unique across nodes and restarts. */
export type RequestId = Brand<string, 'RequestId'>;

/** A voter: a node together with the data folder that its votes are stored in. */
export type VoterIdentity = {
	readonly node: NodeId;
	readonly storeId: StoreId;
};

/** The content of one log entry. */
export type LogPayload<Command>
	= | {readonly type: 'noop'}
		| {readonly type: 'voters'; readonly voters: readonly VoterIdentity[]}
		| {readonly type: 'command'; readonly requestId: RequestId; readonly command: Command};

/** One entry of the log. Indexes start at 1 and have no gaps. */
export type LogEntry<Command> = {
	readonly index: number;
	readonly term: number;
	readonly payload: LogPayload<Command>;
};

/** The state besides the log that a voter must keep across restarts. */
export type HardState = {
	readonly term: number;
	readonly votedFor?: NodeId;
	/** Identifies the initial voter set; absent while the node belongs to no cluster. */
	readonly clusterId?: StoreId;
};

/** A proposal and the index of its entry. */
export type IndexedRequest = {
	readonly requestId: RequestId;
	readonly index: number;
};

/** The applied state up to an index, serialised by the host. */
export type ReplicaSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly VoterIdentity[];
	readonly clusterId: StoreId;
	/** The newest proposals up to the index, so that resent ones are still recognised after the snapshot. */
	readonly requests: readonly IndexedRequest[];
	readonly data: string;
};

/** What a store returns after a restart. */
export type RecoveredReplica<Command> = {
	readonly hardState: HardState;
	readonly snapshot?: ReplicaSnapshot;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
};

/** The retained part of the log. Entry `baseIndex` itself is compacted, but its term is known. */
export type ReplicaLog<Command> = {
	readonly baseIndex: number;
	readonly baseTerm: number;
	readonly entries: List<LogEntry<Command>>;
	/** The bytes of all entries up to each retained one, counted from `baseOffset`; as many as there are entries. */
	readonly endOffsets: List<number>;
	/** The offset of the first retained entry, in bytes. Offsets only mean something as differences. */
	readonly baseOffset: number;
	/** The newest proposals whose entries are compacted, oldest first. Their number is limited. */
	readonly compactedRequests: List<IndexedRequest>;
	/** The index of each known proposal, so that a resent proposal is not appended twice. */
	readonly requests: ImmutableMap<RequestId, number>;
};

/** A participating node, as the settings list it. */
export type ReplicaNode = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	/** Whether the node belongs to the initial voter set. Later sets are read from the log. */
	readonly isInitialVoter: boolean;
};

/** Intervals and limits of the replicated log. */
export type ReplicaLimits = {
	readonly heartbeatPeriodMs: number;
	/** The minimum time without contact from a leader before an election; the maximum is twice this. */
	readonly electionTimeoutMs: number;
	/**
	 * How long a leader may answer reads without another round, counted from when it sent the newest round that
	 * a quorum has acknowledged.
	 */
	readonly leaderLeaseMs: number;
	readonly retransmitTimeoutMs: number;
	/** A leader gives way after so long without a lease, or with entries of which a majority has synced none. */
	readonly leaderStallTimeoutMs: number;
	/**
	 * The minimum time between a round of heartbeats and a round that only reports a commit, in milliseconds.
	 */
	readonly commitHeartbeatIntervalMs: number;
	readonly proposalTimeoutMs: number;
	/** How often a node renews its configuration lease. */
	readonly confirmationPeriodMs: number;
	/**
	 * The minimum time between two polls of a voter. Requests that arrive earlier are answered by the next
	 * poll.
	 */
	readonly minimumPollIntervalMs: number;
	/** The minimum time between two requests of a non-voter to its upstream. */
	readonly minimumPullIntervalMs: number;
	readonly configurationLeaseMs: number;
	/** A voter polls the other voters itself once its last confirmation by a heartbeat is older than this. */
	readonly heartbeatConfirmationMaximumAgeMs: number;
	readonly upstreamTimeoutMs: number;
	readonly upstreamRetryMs: number;
	readonly learnerTimeoutMs: number;
	readonly snapshotEveryEntries: number;
	/** A snapshot is due after twice its bytes of further entries, within these limits. */
	readonly minimumSnapshotBytes: number;
	readonly maximumSnapshotBytes: number;
	/** The maximum number of bytes of entries since the newest snapshot, also while a peer fetches it. */
	readonly maximumLogBytes: number;
	/** The maximum numbers of entries, and of their bytes, that are kept behind the newest snapshot. */
	readonly trailingEntries: number;
	readonly trailingBytes: number;
	/** A leader with more bytes of uncommitted entries accepts no further proposal. */
	readonly maximumUncommittedBytes: number;
	readonly maximumBatchEntries: number;
	/** The maximum total size of the entries in one message. A single entry may exceed it. */
	readonly maximumBatchBytes: number;
	readonly maximumInFlightMessages: number;
	/** The maximum number of bytes of entries sent to a peer and not answered. A single entry may exceed it. */
	readonly maximumInFlightBytes: number;
	/** The maximum number of bytes of entries pushed to a subscriber that it has not confirmed by a pull. A single entry may exceed it. */
	readonly maximumPushedBytes: number;
	/** The maximum number of UTF-16 code units of a snapshot in one message. */
	readonly maximumChunkLength: number;
	readonly maximumPendingRequests: number;
};

/** The configuration of one replica. */
export type ReplicaConfig = {
	readonly self: NodeId;
	/** Absent on a node without a disk, which can only be an observer. */
	readonly storeId?: StoreId;
	readonly nodes: readonly ReplicaNode[];
	readonly limits: ReplicaLimits;
	/** Randomises the election timeouts. */
	readonly random: RandomSource;
	/** Returns the size of an entry on the wire in bytes. If absent, batches are not limited by size. */
	readonly measureEntry?: (entry: LogEntry<unknown>) => number;
};

/** The current role of a replica. An observer neither votes nor counts towards a quorum. */
export type ReplicaRole = 'observer' | 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** What a leader has sent to one peer since it keeps the peer's progress. */
export type PeerTraffic = {
	/** Messages with entries. */
	readonly messages: number;
	/** Bytes of the entries; 0 if entries are not measured. */
	readonly bytes: number;
	/** Entries that were sent and then counted as lost. */
	readonly lostEntries: number;
	/** Messages that the peer rejected because entries before them were missing. */
	readonly rejections: number;
	/** How often unanswered messages counted as lost. */
	readonly rewinds: number;
	readonly snapshotChunks: number;
};

/** A message with entries that is not answered yet. */
export type InFlightMessage = {
	/** The index before the first entry. */
	readonly previousIndex: number;
	readonly lastIndex: number;
};

/** The leader's view of one voter or learner. */
export type PeerProgress = {
	/** Only answers from this data folder count. */
	readonly storeId: StoreId;
	readonly nextIndex: number;
	/** The peer has synced entries to disk up to this index. */
	readonly matchIndex: number;
	/** The peer has received entries up to this index, synced or not. */
	readonly receivedIndex: number;
	/** Oldest first. */
	readonly inFlight: readonly InFlightMessage[];
	/** When something was last learnt of the messages in flight, or the first of them was sent. */
	readonly inFlightSinceMs: number;
	/** Whether it is unknown up to which index the peer's log matches. One message at a time is sent to find out. */
	readonly isProbing: boolean;
	readonly ackedRound: number;
	readonly lastAckMs: number;
	/** When the peer last reported newly synced entries, or that it had synced everything committed. */
	readonly syncedAtMs: number;
	/** When the newest acknowledged round was sent, in monotonic milliseconds. */
	readonly ackedSentAtMs: number;
	/** When the peer sent its newest answer, on the peer's own clock. */
	readonly echo: ConfirmationEcho | undefined;
	readonly traffic: PeerTraffic;
};

/** A change to the voter set. */
export type VoterChange
	= | {
		readonly type: 'add';
		readonly voter: VoterIdentity;
		/** A voter that leaves the set when the new one joins it. */
		readonly replaces?: NodeId;
	}
	| {readonly type: 'remove'; readonly node: NodeId};

/** The entries that a learner has to sync in a short time to count as caught up. */
export type CatchUpRound = {
	readonly index: number;
	readonly startedAtMs: number;
};

/** A voter change that the leader is carrying out, in one or two steps. */
export type PendingVoterChange = {
	readonly requestId: RequestId;
	readonly from: NodeId;
	readonly change: VoterChange;
	readonly startedAtMs: number;
	readonly deadlineMs: number;
	readonly catchUpRound?: CatchUpRound;
	/** The index of the last step's entry; absent while a learner catches up. */
	readonly entryIndex?: number;
	readonly isLastStep: boolean;
};

/** A read that waits until a quorum confirms the leader. */
export type PendingLeaderRead = {
	readonly requestId: RequestId;
	readonly from: NodeId;
	readonly index: number;
	readonly round: number;
};

/** A leadership transfer in progress. Proposals wait until it ends. */
export type LeadershipTransfer = {
	readonly to: NodeId;
	readonly deadlineMs: number;
	readonly isSent: boolean;
};

/** What a leader has achieved, in monotonic milliseconds of its process. */
export type LeaderActivity = {
	/** The index up to which a majority has synced. */
	readonly syncedIndex: number;
	/** When that index last grew, or the last time at which nothing waited to be committed. */
	readonly progressedAtMs: number;
	/** The last time at which the leader lease was usable. */
	readonly leaseHeldAtMs: number;
};

/** The last tick of a leader. */
export type LeaderTick = {
	/** In monotonic milliseconds. */
	readonly atMs: number;
	/** Whether it was the first one after the process had stood still. What came in meanwhile was not read yet. */
	readonly isAfterStandstill: boolean;
};

/** The state that only a leader keeps. */
export type Leadership = {
	readonly progress: ImmutableMap<NodeId, PeerProgress>;
	/** The index of the no-op entry that opened the term. */
	readonly firstIndex: number;
	readonly startedAtMs: number;
	readonly activity: LeaderActivity;
	readonly lastTick: LeaderTick;
	readonly round: number;
	/** When each round of the last election timeout was sent. */
	readonly roundSentAtMs: List<{readonly round: number; readonly sentAtMs: number}>;
	readonly nextHeartbeatMs: number;
	readonly reads: List<PendingLeaderRead>;
	readonly transfer: LeadershipTransfer | undefined;
	/** False once a transfer was requested, because its delayed message could still depose this leader. */
	readonly isLeaseUsable: boolean;
	readonly voterChange: PendingVoterChange | undefined;
};

/** One or several consecutive writes that are not yet synced, with the messages that may be sent only after them. */
export type PendingPersist = {
	/** The number of the last of these writes. */
	readonly sequence: number;
	/** When the first of these writes was made, in monotonic milliseconds. */
	readonly sinceMs: number;
	readonly lastIndex: number;
	readonly term: number;
	readonly messages: ReadonlyArray<{readonly to: NodeId; readonly message: unknown}>;
};

/** The progress of writes to disk. */
export type Persistence = {
	readonly nextSequence: number;
	readonly persistedIndex: number;
	/** Oldest first. Their number is limited, and so is the number of messages of each. */
	readonly pending: readonly PendingPersist[];
};

/** A proposal made on this node, until its entry is applied here. */
export type PendingProposal<Command> = {
	readonly command: Command;
	readonly deadlineMs: number;
	readonly resendAtMs: number;
	/** Whether the proposal may have reached a leader's log. */
	readonly wasSent: boolean;
	readonly index: number | undefined;
};

/** A confirmed read requested on this node. */
export type PendingRead = {
	readonly deadlineMs: number;
	readonly resendAtMs: number;
	/** Known once the leader has answered; the read then waits until this index is applied. */
	readonly index: number | undefined;
};

/** A voter change requested on this node. */
export type PendingVoterRequest = {
	readonly change: VoterChange;
	readonly deadlineMs: number;
	readonly resendAtMs: number;
};

/** A snapshot that is being received. */
export type IncomingSnapshot = {
	readonly from: NodeId;
	readonly index: number;
	readonly requests: readonly IndexedRequest[];
	readonly chunks: readonly string[];
	readonly offset: number;
	readonly length: number;
	readonly resendAtMs: number;
	readonly stallDeadlineMs: number;
};

/** The node that feeds committed entries to this one, and the subscribers that this node feeds. */
export type FeedState = {
	/** The position of the upstream in the list of candidates. */
	readonly upstreamRank: number;
	readonly upstreamLastHeardMs: number;
	readonly upstreamRetryAtMs: number;
	readonly subscribers: ImmutableMap<NodeId, FeedSubscriber>;
};

/** A node that this node feeds with committed entries. */
export type FeedSubscriber = {
	readonly sentIndex: number;
	/** The index that the subscriber named in its last pull. */
	readonly pulledIndex: number;
	readonly renewedAtMs: number;
};

/** One attempt to get a confirmation: a voter polls the other voters, any other node asks its upstream. */
export type ConfirmationPoll = {
	readonly round: number;
	readonly sentAtMs: number;
	/** The lowest index confirmed so far. */
	readonly index: number | undefined;
	readonly answers: ImmutableMap<NodeId, number>;
	/**
	 * The nodes that requested a confirmation before this poll was sent, with the token of their newest
	 * request.
	 */
	readonly requesterTokens: ImmutableMap<NodeId, number>;
};

/** A request of another node that waits for a confirmation. */
export type ConfirmationRequest = {
	readonly token: number;
	readonly receivedAtMs: number;
};

/** The state of this node's configuration lease. */
export type ConfirmationState = {
	/** Differs in each incarnation of the process, so that late answers to an earlier one are ignored. */
	readonly processIncarnation: number;
	readonly nextRound: number;
	readonly nextPollMs: number;
	readonly lastPollMs: number;
	/** Polls whose index is not yet known or not yet applied. */
	readonly polls: readonly ConfirmationPoll[];
	/** The waiting requests of each node, oldest first. */
	readonly waitingRequests: ImmutableMap<NodeId, readonly ConfirmationRequest[]>;
	/** Send time of the newest completed confirmation; absent before the first. */
	readonly confirmedAtMs: number | undefined;
};

/** What an uninitialised node has learnt from the other initial voters. */
export type FormationState = {
	readonly nextQueryMs: number;
	readonly uninitialisedStores: ImmutableMap<NodeId, StoreId>;
};

/** The state of one replica. */
export type ReplicaState<Command> = {
	readonly role: ReplicaRole;
	readonly term: number;
	readonly votedFor: NodeId | undefined;
	readonly clusterId: StoreId | undefined;
	readonly leader: NodeId | undefined;
	readonly log: ReplicaLog<Command>;
	readonly snapshot: ReplicaSnapshot | undefined;
	readonly commitIndex: number;
	/** The newest voter set in the log, committed or not. */
	readonly voters: readonly VoterIdentity[];
	readonly votersIndex: number;
	readonly isSnapshotRequested: boolean;
	/** When a peer last asked for a part of the present snapshot, in monotonic milliseconds. */
	readonly snapshotPulledAtMs: number;
	readonly electionDeadlineMs: number;
	/** How often this node was a candidate since it last knew a leader. */
	readonly candidacies: number;
	readonly leaderLastHeardMs: number;
	readonly votes: readonly NodeId[];
	readonly leadership: Leadership | undefined;
	readonly persistence: Persistence;
	readonly proposals: ImmutableMap<RequestId, PendingProposal<Command>>;
	readonly reads: ImmutableMap<RequestId, PendingRead>;
	/** Voter changes requested on this node, until the leader answers. */
	readonly voterRequests: ImmutableMap<RequestId, PendingVoterRequest>;
	readonly incomingSnapshot: IncomingSnapshot | undefined;
	readonly feed: FeedState;
	readonly confirmation: ConfirmationState;
	readonly formation: FormationState;
};

/** Why a proposal, read or voter change ended without a result. */
export type ReplicaFailure
	/** The request never reached a leader. */
	= | {readonly type: 'notProposed'; readonly reason: 'noLeader' | 'busy'}
	/** The request may already be committed or may still be committed later. */
		| {readonly type: 'unknown'}
		| {readonly type: 'invalidVoterChange'; readonly reason: VoterChangeFailure};

/** Why a voter change was rejected or aborted. */
export type VoterChangeFailure
	= | 'noLeader' | 'anotherInProgress' | 'learnerTooSlow' | 'lastVoter' | 'notReady';

/** The events that a replica handles. Times are in monotonic milliseconds of this process. */
export type ReplicaEvent<Command>
	= | {readonly type: 'replica/tick'; readonly nowMs: number}
		| {
			readonly type: 'peer/received';
			readonly from: NodeId;
			readonly message: ReplicaMessage<Command>;
			readonly nowMs: number;
		}
		| {
			readonly type: 'replica/propose';
			readonly requestId: RequestId;
			readonly command: Command;
			readonly nowMs: number;
		}
		| {readonly type: 'replica/read'; readonly requestId: RequestId; readonly nowMs: number}
		| {readonly type: 'replica/persisted'; readonly sequence: number; readonly nowMs: number}
		| {
			readonly type: 'replica/snapshotTaken';
			readonly index: number;
			readonly data: string;
			readonly nowMs: number;
		}
		| {readonly type: 'replica/transferLeadership'; readonly to?: NodeId; readonly nowMs: number}
		| {readonly type: 'replica/giveWay'; readonly nowMs: number}
		| {
			readonly type: 'replica/changeVoters';
			readonly requestId: RequestId;
			readonly change: VoterChange;
			readonly nowMs: number;
		};

/** The effects that the host of a replica carries out, in order. */
export type ReplicaEffect<Command>
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: ReplicaMessage<Command>}
		| PersistEffect<Command>
		| {readonly type: 'replica/apply'; readonly entries: ReadonlyArray<LogEntry<Command>>}
		| {readonly type: 'replica/takeSnapshot'; readonly index: number}
		| {readonly type: 'replica/installSnapshot'; readonly index: number; readonly data: string}
		| {readonly type: 'replica/proposalDone'; readonly requestId: RequestId; readonly index: number}
		| {
			readonly type: 'replica/proposalFailed';
			readonly requestId: RequestId;
			readonly failure: ReplicaFailure;
			readonly leader: NodeId | undefined;
		}
		| {readonly type: 'replica/readReady'; readonly requestId: RequestId; readonly index: number}
		| {
			readonly type: 'replica/roleChanged';
			readonly role: ReplicaRole;
			readonly term: number;
			readonly leader: NodeId | undefined;
		};

/**
 * One atomic write. Writes are synced in order. Once this one and those before it are synced, the host answers with
 * `replica/persisted` and the number of this or of a later write. A write never fails; it takes until the disk accepts it.
 */
export type PersistEffect<Command> = {
	readonly type: 'replica/persist';
	readonly sequence: number;
	readonly hardState: HardState;
	/** Entries from this index on are removed before the new ones are appended. */
	readonly truncateFrom?: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	readonly snapshot?: ReplicaSnapshot;
	/** Entries below this index are no longer needed once the snapshot is synced. */
	readonly firstIndex?: number;
};
