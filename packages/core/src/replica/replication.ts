import type {NodeId} from '@samphiremill/common';
import {List, Map as ImmutableMap} from 'immutable';
import {commitUpTo} from './commit.js';
import {addConfirmation} from './confirmation.js';
import {getConfirmedSendMs} from './leader-lease.js';
import {getSyncedIndex, isLeaderStalled, updateLeaderActivity} from './leader-stall.js';
import {
	appendEntries, getLastIndex, getTerm,
} from './log.js';
import type {AppendedMessage} from './messages.js';
import {persistState} from './persistence.js';
import {standstillMs} from './constants.js';
import {getQuorumValue, hasVoter} from './quorum.js';
import {
	chainSteps, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {
	enterTerm, getElectionDeadline, stepDown, transitionRole,
} from './roles.js';
import {createPeerTraffic, recordRejectedEntries, recordRejection} from './peer-traffic.js';
import {sendNewEntries, sendRound, setProgress} from './sending.js';
import type {
	Leadership, LeaderTick, LogEntry, LogPayload, PeerProgress, ReplicaConfig, ReplicaState, StoreId, VoterIdentity,
} from './types.js';
import {getVoterProgress} from './voter-progress.js';

const createProgress = (storeId: StoreId, lastIndex: number, sinceMs: number): PeerProgress => ({
	storeId,
	nextIndex: lastIndex + 1,
	matchIndex: 0,
	receivedIndex: 0,
	inFlight: [],
	inFlightSinceMs: 0,
	isProbing: true,
	ackedRound: 0,
	lastAckMs: 0,
	syncedAtMs: sinceMs,
	ackedSentAtMs: Number.NEGATIVE_INFINITY,
	echo: undefined,
	traffic: createPeerTraffic(),
});

const getPeers = <Command>(
	state: ReplicaState<Command>,
	{voterChange}: Leadership,
	cfg: ReplicaConfig,
): readonly VoterIdentity[] => {
	const learner = voterChange?.change.type === 'add' ? voterChange.change.voter : undefined;
	const peers = learner === undefined ? state.voters : [...state.voters.filter(({node}) => node !== learner.node), learner];
	return peers.filter(({node}) => node !== cfg.self);
};

/**
 * Updates the leader's progress records to match the other voters and, during a voter change, the learner.
 *
 * @param state - A leader.
 */
export function reconcileProgress<Command>(state: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext): ReplicaState<Command> {
	const {leadership} = state;
	if (leadership === undefined) {
		return state;
	}

	const peers = getPeers(state, leadership, cfg);
	const isCurrent = peers.length === leadership.progress.size
		&& peers.every(({node, storeId}) => leadership.progress.get(node)?.storeId === storeId);
	if (isCurrent) {
		return state;
	}

	const lastIndex = getLastIndex(state.log);
	const progress = ImmutableMap(peers.map(peer => {
		const {node, storeId} = peer;
		// A node that returns with a new data folder starts with empty progress. If its change is aborted, the voter with the
		// old folder has been silent all the time.
		const sinceMs = hasVoter(state.voters, peer) ? leadership.startedAtMs : nowMs;
		return [node, getVoterProgress(leadership, peer) ?? createProgress(storeId, lastIndex, sinceMs)] as const;
	}));
	return {...state, leadership: {...leadership, progress}};
}

/**
 * Commits the entries that a majority of voters has synced. Only an entry of the current term is committed by
 * counting; the entries before it are committed with it.
 *
 * @param state - A leader.
 */
function advanceCommit<Command>(state: ReplicaState<Command>, {cfg}: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	if (leadership === undefined) {
		return createStep(state);
	}

	const index = getSyncedIndex(state, cfg);
	return getTerm(state.log, index) === state.term ? commitUpTo(state, index) : createStep(state);
}

/**
 * Appends entries as the leader and sends them to the peers, before they are synced on this node.
 *
 * @param state - A leader.
 */
export function appendAsLeader<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	payloads: ReadonlyArray<LogPayload<Command>>,
): ReplicaStep<Command> {
	const firstIndex = getLastIndex(state.log) + 1;
	const entries = payloads.map((payload, offset): LogEntry<Command> => ({index: firstIndex + offset, term: state.term, payload}));
	const voterEntry = entries.findLast(({payload}) => payload.type === 'voters');
	const next: ReplicaState<Command> = {
		...state,
		log: appendEntries(state.log, entries, context.cfg.measureEntry),
		...(voterEntry?.payload.type === 'voters' && {voters: voterEntry.payload.voters, votersIndex: voterEntry.index}),
	};
	return chainSteps(
		persistState(reconcileProgress(next, context), context, {entries}),
		sendNewEntriesToAll(context),
	);
}

const sendNewEntriesToAll = (context: ReplicaContext) => <Command>(state: ReplicaState<Command>): ReplicaStep<Command> =>
	chainSteps(
		createStep(state),
		...(state.leadership?.progress.keySeq().toArray() ?? [])
			.map(peer => (next: ReplicaState<Command>) => sendNewEntries(next, context, peer)),
	);

/**
 * Starts to lead: opens the term with a no-op entry, whose commit also commits the entries before it.
 *
 * @param state - The winner of an election.
 */
export function startLeadership<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const leadership: Leadership = {
		progress: ImmutableMap(),
		firstIndex: getLastIndex(state.log) + 1,
		startedAtMs: context.nowMs,
		activity: {syncedIndex: 0, progressedAtMs: context.nowMs, leaseHeldAtMs: context.nowMs},
		lastTick: {atMs: context.nowMs, isAfterStandstill: false},
		round: 0,
		roundSentAtMs: List(),
		nextHeartbeatMs: context.nowMs,
		reads: List(),
		transfer: undefined,
		isLeaseUsable: true,
		voterChange: undefined,
	};
	const leader: ReplicaState<Command> = {
		...state, leader: context.cfg.self, leadership, candidacies: 0,
	};
	return chainSteps(
		createStep(reconcileProgress(leader, context)),
		next => appendAsLeader(next, context, [{type: 'noop'}]),
		next => sendRound(next, context),
	);
}

const getLastAckMs = (progress: PeerProgress | undefined, leadership: Leadership) =>
	Math.max(progress?.lastAckMs ?? 0, leadership.startedAtMs);

// Timers run before the messages that came in while the process stood still are read. Two such ticks in a row have a look at the
// messages between them, so the second one counts as any other.
const recordTick = ({lastTick}: Leadership, nowMs: number): LeaderTick => ({
	atMs: nowMs, isAfterStandstill: nowMs - lastTick.atMs > standstillMs && !lastTick.isAfterStandstill,
});

/**
 * Sends heartbeats. Steps down if a majority has not answered for an election timeout, or if this leader is stalled; but not before
 * it has read what came in while its process stood still.
 */
export function tickLeadership<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {nowMs, cfg} = context;
	if (state.leadership === undefined) {
		return createStep(state);
	}

	const leadership = {...state.leadership, lastTick: recordTick(state.leadership, nowMs)};
	if (leadership.lastTick.isAfterStandstill) {
		return sendRound({...state, leadership}, context);
	}

	const quorumContactMs = getQuorumValue(state.voters.map(voter =>
		voter.node === cfg.self ? nowMs : getLastAckMs(getVoterProgress(leadership, voter), leadership)));
	if (nowMs - quorumContactMs > cfg.limits.electionTimeoutMs) {
		return createStep({...transitionRole(state, {type: 'quorumLost'}), electionDeadlineMs: getElectionDeadline(context)});
	}

	const updated = updateLeaderActivity(state, leadership, context);
	// A sole voter has nobody to give way to.
	if (isLeaderStalled(updated, context) && state.voters.length > 1) {
		return createStep(stepDown(state, context));
	}

	const next = {...state, leadership: updated};
	return nowMs >= updated.nextHeartbeatMs ? sendRound(next, context) : createStep(next);
}

// A peer rejects each message behind a gap. The first rejection tells where to continue; the ones that were on their way then
// tell nothing new, and must not make the same entries leave again.
const rewindRejected = (progress: PeerProgress, message: AppendedMessage, nowMs: number): PeerProgress => {
	// A delayed rejection must not revert what the peer has acknowledged since.
	const receivedIndex = Math.max(progress.matchIndex, message.receivedIndex);
	const isKnown = progress.isProbing && progress.inFlight[0]?.previousIndex === receivedIndex;
	const counted = recordRejection(progress);
	return isKnown
		? counted
		: {
			...recordRejectedEntries(counted), nextIndex: receivedIndex + 1, receivedIndex, inFlight: [], inFlightSinceMs: nowMs, isProbing: true,
		};
};

const updateProgress = (
	progress: PeerProgress,
	message: AppendedMessage,
	{nowMs, sentAtMs, commitIndex}: {readonly nowMs: number; readonly sentAtMs: number | undefined; readonly commitIndex: number},
): PeerProgress => {
	const acknowledged = {
		...progress,
		ackedRound: Math.max(progress.ackedRound, message.round),
		ackedSentAtMs: Math.max(progress.ackedSentAtMs, sentAtMs ?? Number.NEGATIVE_INFINITY),
		lastAckMs: nowMs,
		echo: message.echo,
	};
	if (!message.isAccepted) {
		return rewindRejected(acknowledged, message, nowMs);
	}

	const receivedIndex = Math.max(progress.receivedIndex, message.receivedIndex);
	const matchIndex = Math.max(progress.matchIndex, message.matchIndex);
	const inFlight = progress.inFlight.filter(({lastIndex}) => lastIndex > receivedIndex);
	return {
		...acknowledged,
		inFlight,
		inFlightSinceMs: receivedIndex > progress.receivedIndex ? nowMs : progress.inFlightSinceMs,
		isProbing: progress.isProbing && inFlight.length > 0,
		matchIndex,
		syncedAtMs: matchIndex > progress.matchIndex || matchIndex >= commitIndex ? nowMs : progress.syncedAtMs,
		receivedIndex,
		nextIndex: Math.max(progress.nextIndex, receivedIndex + 1),
	};
};

const isCommitHeartbeatDue = <Command>({leadership}: ReplicaState<Command>, {cfg: {limits}, nowMs}: ReplicaContext) => {
	const lastRoundMs = (leadership?.nextHeartbeatMs ?? nowMs) - limits.heartbeatPeriodMs;
	return nowMs - lastRoundMs >= limits.commitHeartbeatIntervalMs;
};

/**
 * Commits what a majority has synced. If the whole log is committed, no entries follow that would report the
 * commit, so a round of heartbeats reports it to the peers, at most once per `commitHeartbeatIntervalMs`.
 */
export function commitAndNotifyPeers<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	return chainSteps(
		advanceCommit(state, context),
		next => next.commitIndex > state.commitIndex && next.commitIndex === getLastIndex(next.log) && isCommitHeartbeatDue(next, context)
			? sendRound(next, context)
			: createStep(next),
	);
}

// A majority still followed this leader when it sent the round, so its commit index was the newest then.
const renewOwnConfigurationLease = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => {
	const sentAtMs = getConfirmedSendMs(state, context);
	const {leadership, confirmation} = state;
	const isNewer = sentAtMs > (confirmation.confirmedAtMs ?? Number.NEGATIVE_INFINITY);
	return leadership !== undefined && isNewer && state.commitIndex >= leadership.firstIndex
		? addConfirmation(state, {sentAtMs, index: state.commitIndex})
		: createStep(state);
};

/**
 * Handles a peer's answer to entries or a heartbeat. An answer from a data folder other than the voter's is
 * ignored.
 */
export function handleAppended<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: AppendedMessage},
): ReplicaStep<Command> {
	if (message.term > state.term) {
		return enterTerm(state, context, message.term);
	}

	const {leadership} = state;
	const progress = leadership?.progress.get(from);
	if (leadership === undefined || progress?.storeId !== message.storeId || message.term < state.term) {
		return createStep(state);
	}

	const sentAtMs = leadership.roundSentAtMs.find(({round}) => round === message.round)?.sentAtMs;
	return chainSteps(
		createStep(setProgress(state, from, updateProgress(progress, message, {nowMs: context.nowMs, sentAtMs, commitIndex: state.commitIndex}))),
		next => commitAndNotifyPeers(next, context),
		next => renewOwnConfigurationLease(next, context),
		next => sendNewEntries(next, context, from),
	);
}
