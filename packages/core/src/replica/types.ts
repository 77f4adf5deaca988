/**
 * The replicated log: one order of commands, agreed by a majority of voters with disks, and handed
 * on to every other node.
 */
import type {
	Brand, DataCentreId, NodeId, RandomSource,
} from '@samphiremill/common';
import type {List, Map as ImmutableMap} from 'immutable';
import type {ConfirmationEcho, ReplicaMessage} from './messages.js';

/** One life of a data folder. An emptied folder gets a new one, so it can't pass for the old voter. */
export type StoreId = Brand<string, 'StoreId'>;
/** One proposal or read, unique across nodes and restarts. */
export type RequestId = Brand<string, 'RequestId'>;

/** A voter: a node together with the data folder that it voted from. */
export type VoterIdentity = {
	readonly node: NodeId;
	readonly storeId: StoreId;
};

/** What one place of the log holds. */
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

/** What a voter must remember across restarts besides its log. */
export type HardState = {
	readonly term: number;
	readonly votedFor?: NodeId;
	/** Names the first voter set; absent while the node belongs to no cluster. */
	readonly clusterId?: StoreId;
};

/** A proposal and where its entry stands. */
export type IndexedRequest = {
	readonly requestId: RequestId;
	readonly index: number;
};

/** The applied state up to an index, serialised by the embedder. */
export type ReplicaSnapshot = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly VoterIdentity[];
	readonly clusterId: StoreId;
	/** The newest proposals up to the index, so that a resend is recognised after it, too. */
	readonly requests: readonly IndexedRequest[];
	readonly data: string;
};

/** What a store gives back after a restart. */
export type RecoveredReplica<Command> = {
	readonly hardState: HardState;
	readonly snapshot?: ReplicaSnapshot;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
};

/** The retained part of the log. Entry `baseIndex` itself is gone, its term is known. */
export type ReplicaLog<Command> = {
	readonly baseIndex: number;
	readonly baseTerm: number;
	readonly entries: List<LogEntry<Command>>;
	/** Proposals whose entries are compacted, oldest first, up to a bound. */
	readonly compactedRequests: List<IndexedRequest>;
	/** Where each known proposal stands, so that a resend isn't appended again. */
	readonly requests: ImmutableMap<RequestId, number>;
};

/** A node that takes part, as the settings name it. */
export type ReplicaNode = {
	readonly node: NodeId;
	readonly dataCentre: DataCentreId;
	/** Whether the node belongs to the first voter set. Later sets come from the log. */
	readonly isInitialVoter: boolean;
};

/** Periods and bounds of the replicated log. */
export type ReplicaLimits = {
	readonly heartbeatPeriodMs: number;
	/** Shortest silence of a leader before an election; the longest is twice this. */
	readonly electionTimeoutMs: number;
	/** How long a leader answers reads by itself after a quorum heard from it. */
	readonly leaderLeaseMs: number;
	readonly retransmitTimeoutMs: number;
	/** Least time from one round of heartbeats to one that only tells of a commit, in milliseconds. */
	readonly commitHeartbeatIntervalMs: number;
	readonly proposalTimeoutMs: number;
	/** How often a node renews its configuration lease. */
	readonly confirmationPeriodMs: number;
	/** Requests that come to a voter within this time of its last poll are answered by the next one. */
	readonly minimumPollIntervalMs: number;
	/** The same for a node that asks its upstream in turn. */
	readonly minimumPullIntervalMs: number;
	readonly configurationLeaseMs: number;
	/** Age of a heartbeat's confirmation from which a voter polls the others itself. */
	readonly heartbeatConfirmationMaximumAgeMs: number;
	readonly upstreamTimeoutMs: number;
	readonly upstreamRetryMs: number;
	readonly learnerTimeoutMs: number;
	readonly snapshotEveryEntries: number;
	readonly trailingEntries: number;
	readonly maximumBatchEntries: number;
	/** How large the entries of one message may be together, if there is more than one. */
	readonly maximumBatchBytes: number;
	readonly maximumInFlightMessages: number;
	readonly maximumChunkLength: number;
	readonly maximumPendingRequests: number;
};

/** How one replica is set up. */
export type ReplicaConfig = {
	readonly self: NodeId;
	/** Absent on a node without a disk, which can only observe. */
	readonly storeId?: StoreId;
	readonly nodes: readonly ReplicaNode[];
	readonly limits: ReplicaLimits;
	/** Spreads election timeouts. */
	readonly random: RandomSource;
	/** The size of an entry on the wire in bytes; entries are not bounded by size if absent. */
	readonly measureEntry?: (entry: LogEntry<unknown>) => number;
};

/** What a replica does at this moment. An observer neither votes nor counts for a quorum. */
export type ReplicaRole = 'observer' | 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** What the leader knows of one voter or learner. */
export type PeerProgress = {
	/** The data folder whose answers count. */
	readonly storeId: StoreId;
	readonly nextIndex: number;
	/** Synced on the peer's disk up to here. */
	readonly matchIndex: number;
	/** Received by the peer up to here, synced or not. */
	readonly receivedIndex: number;
	readonly inFlight: number;
	readonly ackedRound: number;
	readonly lastAckMs: number;
	/** The monotonic time when the newest acknowledged round was sent. */
	readonly ackedSentAtMs: number;
	/** The peer's own time of its newest answer. */
	readonly echo: ConfirmationEcho | undefined;
};

/** A voter change in progress. */
export type VoterChange
	= | {readonly type: 'add'; readonly voter: VoterIdentity}
		| {readonly type: 'remove'; readonly node: NodeId};

/** A voter change that the leader carries out, possibly in two steps. */
export type PendingVoterChange = {
	readonly requestId: RequestId;
	readonly from: NodeId;
	readonly change: VoterChange;
	readonly deadlineMs: number;
	/** The index of the last step's entry; absent while a learner catches up. */
	readonly entryIndex?: number;
	readonly isLastStep: boolean;
};

/** A read that waits for a quorum to confirm the leader. */
export type PendingLeaderRead = {
	readonly requestId: RequestId;
	readonly from: NodeId;
	readonly index: number;
	readonly round: number;
};

/** A transfer of leadership in progress. Proposals wait meanwhile. */
export type LeadershipTransfer = {
	readonly to: NodeId;
	readonly deadlineMs: number;
	readonly isSent: boolean;
};

/** What only a leader keeps. */
export type Leadership = {
	readonly progress: ImmutableMap<NodeId, PeerProgress>;
	/** The index of the empty entry that opened the term. */
	readonly firstIndex: number;
	readonly startedAtMs: number;
	readonly round: number;
	/** When each round that isn't yet confirmed was sent. */
	readonly roundSentAtMs: List<{readonly round: number; readonly sentAtMs: number}>;
	readonly nextHeartbeatMs: number;
	readonly reads: List<PendingLeaderRead>;
	readonly transfer: LeadershipTransfer | undefined;
	/** False once a transfer was asked for: its late message could still depose this leader. */
	readonly isLeaseUsable: boolean;
	readonly voterChange: PendingVoterChange | undefined;
};

/** A write to disk that isn't yet acknowledged, and what may be sent only after it. */
export type PendingPersist = {
	readonly sequence: number;
	readonly lastIndex: number;
	readonly term: number;
	readonly messages: ReadonlyArray<{readonly to: NodeId; readonly message: unknown}>;
};

/** How far the disk has come. */
export type Persistence = {
	readonly nextSequence: number;
	readonly persistedIndex: number;
	readonly pending: readonly PendingPersist[];
	/** A failed write ends every acknowledgement and vote until the restart. */
	readonly hasFailed: boolean;
};

/** A proposal made on this node, until its entry is applied here. */
export type PendingProposal<Command> = {
	readonly command: Command;
	readonly deadlineMs: number;
	readonly resendAtMs: number;
	/** Whether it may have reached a leader's log. */
	readonly wasSent: boolean;
	readonly index: number | undefined;
};

/** A confirmed read asked on this node. */
export type PendingRead = {
	readonly deadlineMs: number;
	readonly resendAtMs: number;
	/** Known once the leader answered; then the read waits until this index is applied. */
	readonly index: number | undefined;
};

/** A voter change asked on this node. */
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

/** Where a node gets committed entries from, and whom it feeds. */
export type FeedState = {
	/** The position in the list of candidates. */
	readonly upstreamRank: number;
	readonly upstreamLastHeardMs: number;
	readonly upstreamRetryAtMs: number;
	readonly subscribers: ImmutableMap<NodeId, FeedSubscriber>;
};

/** A node that is fed by this one. */
export type FeedSubscriber = {
	readonly sentIndex: number;
	readonly renewedAtMs: number;
};

/** One request for a confirmation: a voter polls the others, any other node asks its upstream. */
export type ConfirmationPoll = {
	readonly round: number;
	readonly sentAtMs: number;
	/** The least index confirmed so far. */
	readonly index: number | undefined;
	readonly answers: ImmutableMap<NodeId, number>;
	/** Nodes that asked before this poll was sent, with the token of each request. */
	readonly requesterTokens: ImmutableMap<NodeId, number>;
};

/** One request of a node that waits for a confirmation. */
export type ConfirmationRequest = {
	readonly token: number;
	readonly receivedAtMs: number;
};

/** The configuration lease of this node. */
export type ConfirmationState = {
	/** Differs in each life of the process, so that no late answer to an earlier one counts. */
	readonly processIncarnation: number;
	readonly nextRound: number;
	readonly nextPollMs: number;
	readonly lastPollMs: number;
	/** Polls whose index isn't known or isn't applied yet. */
	readonly polls: readonly ConfirmationPoll[];
	/** Oldest request first. */
	readonly waitingRequests: ImmutableMap<NodeId, readonly ConfirmationRequest[]>;
	/** Send time of the newest effective confirmation; absent before the first. */
	readonly confirmedAtMs: number | undefined;
};

/** What a blank node learnt from the other initial voters. */
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
	readonly electionDeadlineMs: number;
	readonly leaderLastHeardMs: number;
	readonly votes: readonly NodeId[];
	readonly leadership: Leadership | undefined;
	readonly persistence: Persistence;
	readonly proposals: ImmutableMap<RequestId, PendingProposal<Command>>;
	readonly reads: ImmutableMap<RequestId, PendingRead>;
	/** Voter changes asked on this node, until the leader answers. */
	readonly voterRequests: ImmutableMap<RequestId, PendingVoterRequest>;
	readonly incomingSnapshot: IncomingSnapshot | undefined;
	readonly feed: FeedState;
	readonly confirmation: ConfirmationState;
	readonly formation: FormationState;
};

/** Why a proposal or read ended without its result. */
export type ReplicaFailure
	/** It never reached a leader. */
	= | {readonly type: 'notProposed'; readonly reason: 'noLeader' | 'busy' | 'storageFailed'}
	/** It may have been, or may yet be, committed. */
		| {readonly type: 'unknown'}
		| {readonly type: 'invalidVoterChange'; readonly reason: VoterChangeFailure};

/** Why a voter change was refused or given up. */
export type VoterChangeFailure
	= | 'noLeader' | 'anotherInProgress' | 'learnerTooSlow' | 'lastVoter' | 'notReady';

/** What a replica reacts to. Times are monotonic milliseconds of this process. */
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
		| {readonly type: 'replica/persistFailed'; readonly nowMs: number}
		| {
			readonly type: 'replica/snapshotTaken';
			readonly index: number;
			readonly data: string;
			readonly nowMs: number;
		}
		| {readonly type: 'replica/transferLeadership'; readonly to?: NodeId; readonly nowMs: number}
		| {
			readonly type: 'replica/changeVoters';
			readonly requestId: RequestId;
			readonly change: VoterChange;
			readonly nowMs: number;
		};

/** What a replica asks its host to do, in order. */
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

/** One atomic write. The host answers with `replica/persisted` once it is synced, in order. */
export type PersistEffect<Command> = {
	readonly type: 'replica/persist';
	readonly sequence: number;
	readonly hardState: HardState;
	/** Entries from this index on are dropped before the new ones are appended. */
	readonly truncateFrom?: number;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	readonly snapshot?: ReplicaSnapshot;
	/** Entries below this index are no longer needed once the snapshot is synced. */
	readonly firstIndex?: number;
};
