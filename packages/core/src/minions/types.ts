/**
 * The directory of the minions of one data centre, kept by each of its entry hosts.
 */
import type {MinionId, MonotonicMs, NodeId} from '@samphiremill/common';
import type {Map as ImmutableMap} from 'immutable';
import type {KnownMinion, MembershipView, MinionAnnouncement} from '../membership/types.js';

/** The newest that the sender knows of one minion. */
export type MinionRenewal = {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly isLeaving: boolean;
	/** How long ago the minion was heard. */
	readonly heardAgoMs: number;
};

/** What entry hosts of a data centre tell each other about minions. */
export type MinionsMessage
	= | {readonly type: 'minions/announced'; readonly announcements: readonly MinionAnnouncement[]}
		| {readonly type: 'minions/renewed'; readonly renewals: readonly MinionRenewal[]}
		/** The sender was told of minions that it does not know. */
		| {readonly type: 'minions/wanted'; readonly minions: readonly MinionId[]};

/** What happens to the directory. */
export type MinionsEvent
	/** A minion announced itself to this entry host. */
	= | {readonly type: 'minions/announced'; readonly announcement: MinionAnnouncement; readonly nowMs: MonotonicMs}
		| {
			readonly type: 'minions/renewed';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** A minion told this entry host that it is leaving: it finishes what it has. */
		| {
			readonly type: 'minions/leaving';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** A kept-alive connection to the minion went mute; that alone does not make it dead. */
		| {
			readonly type: 'minions/connectionMute';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** The outcome of a probe on a new connection. */
		| {
			readonly type: 'minions/probed';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly isReachable: boolean;
			readonly nowMs: MonotonicMs;
		}
		| {readonly type: 'minions/tick'; readonly nowMs: MonotonicMs}
		| {readonly type: 'membership/changed'; readonly view: MembershipView; readonly nowMs: MonotonicMs}
		| {readonly type: 'peer/received'; readonly from: NodeId; readonly message: MinionsMessage; readonly nowMs: MonotonicMs};

/** Timings of the directory in milliseconds, and this node's place. */
export type MinionsConfig = {
	readonly self: NodeId;
	/** How long a minion counts as ready after it was last heard. */
	readonly leaseMs: number;
	/** How often renewals are passed on, many in one message. */
	readonly renewalPeriodMs: number;
	/** How long a silent minion is remembered. */
	readonly forgetAfterMs: number;
};

/** One minion with what this entry host has yet to tell others of it. */
export type DirectoryEntry = KnownMinion & {
	readonly isLeaving: boolean;
	/** `failed` until the minion is heard again. */
	readonly probe: 'none' | 'pending' | 'failed';
	/** This entry host heard the minion since it last passed renewals on. */
	readonly hasUnsentRenewal: boolean;
	readonly leavingAtMs: MonotonicMs | undefined;
};

/** The directory of one data centre as this entry host knows it. */
export type MinionsState = {
	readonly entries: ImmutableMap<MinionId, DirectoryEntry>;
	/** The live entry hosts of the data centre, without this one. */
	readonly peers: readonly NodeId[];
	readonly renewalsSentAtMs: MonotonicMs;
};

/** What the directory asks of the shell and tells the other parts. */
export type MinionsEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: MinionsMessage}
		/** These minions are new, or their condition or announcement changed. */
		| {readonly type: 'minions/changed'; readonly minions: readonly KnownMinion[]}
		/** Open a new connection to the minion and report `minions/probed`. */
		| {readonly type: 'minions/probe'; readonly minion: KnownMinion};
