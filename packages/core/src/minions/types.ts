/**
 * The directory of the minions of one data centre. Each entry host of the data centre keeps a copy.
 */
import type {MinionId, MonotonicMs, NodeId} from '@samphiremill/common';
import type {Map as ImmutableMap} from 'immutable';
import type {KnownMinion, MembershipView, MinionAnnouncement} from '../membership/types.js';

/** The latest information of the sender about one minion. */
export type MinionRenewal = {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly isLeaving: boolean;
	/** How long ago the minion was last heard from. */
	readonly heardAgoMs: number;
};

/** Messages about minions between the entry hosts of a data centre. */
export type MinionsMessage
	= | {readonly type: 'minions/announced'; readonly announcements: readonly MinionAnnouncement[]}
		| {readonly type: 'minions/renewed'; readonly renewals: readonly MinionRenewal[]}
		/** Asks for the announcements of minions that the sender does not know. */
		| {readonly type: 'minions/wanted'; readonly minions: readonly MinionId[]};

/** Events that change the directory. */
export type MinionsEvent
	/** A minion announced itself to this entry host. */
	= | {readonly type: 'minions/announced'; readonly announcement: MinionAnnouncement; readonly nowMs: MonotonicMs}
		| {
			readonly type: 'minions/renewed';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** A minion told this entry host that it is leaving: it finishes its jobs and takes no new ones. */
		| {
			readonly type: 'minions/leaving';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** A keep-alive connection to the minion stopped answering, which alone does not prove that the minion is dead. */
		| {
			readonly type: 'minions/connectionMute';
			readonly minion: MinionId;
			readonly incarnation: number;
			readonly nowMs: MonotonicMs;
		}
		/** The result of a probe over a new connection. */
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

/** This node's id, and the timings of the directory in milliseconds. */
export type MinionsConfig = {
	readonly self: NodeId;
	/** How long a minion counts as ready after it was last heard from. */
	readonly leaseMs: number;
	/** How often renewals are forwarded, batched in one message. */
	readonly renewalPeriodMs: number;
	/** How long a silent minion stays in the directory. */
	readonly forgetAfterMs: number;
};

/** A minion, with the state of its probe and of forwarding its reports to the other entry hosts. */
export type DirectoryEntry = KnownMinion & {
	readonly isLeaving: boolean;
	/** A probe stays `failed` until the minion is heard from again. */
	readonly probe: 'none' | 'pending' | 'failed';
	/** This entry host heard from the minion since it last forwarded renewals. */
	readonly hasUnsentRenewal: boolean;
	readonly leavingAtMs: MonotonicMs | undefined;
};

/** This entry host's copy of the directory. */
export type MinionsState = {
	readonly entries: ImmutableMap<MinionId, DirectoryEntry>;
	/** The live entry hosts of the data centre, other than this one. */
	readonly peers: readonly NodeId[];
	readonly renewalsSentAtMs: MonotonicMs;
};

/** Effects that the directory asks the shell to carry out, and notifications for other modules. */
export type MinionsEffect
	= | {readonly type: 'peer/send'; readonly to: NodeId; readonly message: MinionsMessage}
		/** The minions are new, or their condition or announcement has changed. */
		| {readonly type: 'minions/changed'; readonly minions: readonly KnownMinion[]}
		/** Asks to probe the minion over a new connection and to report `minions/probed`. */
		| {readonly type: 'minions/probe'; readonly minion: KnownMinion};
