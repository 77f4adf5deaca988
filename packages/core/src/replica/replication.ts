import type {NodeId} from '@samphiremill/common';
import {List, Map as ImmutableMap} from 'immutable';
import {commitUpTo} from './commit.js';
import {addConfirmation} from './confirmation.js';
import {getConfirmedSendMs} from './leader-lease.js';
import {
	appendEntries, getLastIndex, getTerm,
} from './log.js';
import type {AppendedMessage} from './messages.js';
import {persistState} from './persistence.js';
import {getQuorumValue} from './quorum.js';
import {
	chainSteps, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {enterTerm, getElectionDeadline, transitionRole} from './roles.js';
import {sendNewEntries, sendRound, setProgress} from './sending.js';
import type {
	Leadership, LogEntry, LogPayload, PeerProgress, ReplicaConfig, ReplicaState, StoreId, VoterIdentity,
} from './types.js';

const createProgress = (storeId: StoreId, lastIndex: number): PeerProgress => ({
	storeId,
	nextIndex: lastIndex + 1,
	matchIndex: 0,
	receivedIndex: 0,
	inFlight: 0,
	ackedRound: 0,
	lastAckMs: 0,
	ackedSentAtMs: Number.NEGATIVE_INFINITY,
	echo: undefined,
});

const getPeers = <Command>(
	state: ReplicaState<Command>,
	{voterChange}: Leadership,
	cfg: ReplicaConfig,
): readonly VoterIdentity[] => {
	const learner = voterChange?.change.type === 'add' ? voterChange.change.voter : undefined;
	const hasLearner = learner !== undefined && state.voters.every(({node}) => node !== learner.node);
	const peers = hasLearner ? [...state.voters, learner] : state.voters;
	return peers.filter(({node}) => node !== cfg.self);
};

/**
 * Lets the leader follow exactly the other voters and, during a voter change, the learner.
 *
 * @param state - A leader.
 * @param context - The set-up and the time.
 * @returns The state with progress for each of them.
 */
export function reconcileProgress<Command>(state: ReplicaState<Command>, {cfg}: ReplicaContext): ReplicaState<Command> {
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
	const progress = ImmutableMap(peers.map(({node, storeId}) => {
		const known = leadership.progress.get(node);
		// A new data folder under an old name starts from nothing.
		return [node, known?.storeId === storeId ? known : createProgress(storeId, lastIndex)] as const;
	}));
	return {...state, leadership: {...leadership, progress}};
}

/**
 * Commits what a majority of the voters has synced. Only an entry of the own term commits by
 * counting; those before it follow.
 *
 * @param state - A leader.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
function advanceCommit<Command>(state: ReplicaState<Command>, {cfg}: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	if (leadership === undefined) {
		return createStep(state);
	}

	const synced = state.voters.map(({node}) => node === cfg.self
		? state.persistence.persistedIndex
		: leadership.progress.get(node)?.matchIndex ?? 0);
	const index = getQuorumValue(synced);
	return getTerm(state.log, index) === state.term ? commitUpTo(state, index) : createStep(state);
}

/**
 * Appends entries as the leader and sends them on, before they are synced here.
 *
 * @param state - A leader.
 * @param context - The set-up and the time.
 * @param payloads - What the entries hold.
 * @returns The next step.
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
		log: appendEntries(state.log, entries),
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
 * Begins to lead: opens the term with an empty entry, whose commit also commits what came before.
 *
 * @param state - The winner of an election.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function startLeadership<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const leadership: Leadership = {
		progress: ImmutableMap(),
		firstIndex: getLastIndex(state.log) + 1,
		startedAtMs: context.nowMs,
		round: 0,
		roundSentAtMs: List(),
		nextHeartbeatMs: context.nowMs,
		reads: List(),
		transfer: undefined,
		isLeaseUsable: true,
		voterChange: undefined,
	};
	const leader: ReplicaState<Command> = {...state, leader: context.cfg.self, leadership};
	return chainSteps(
		createStep(reconcileProgress(leader, context)),
		next => appendAsLeader(next, context, [{type: 'noop'}]),
		next => sendRound(next, context),
	);
}

const getLastAckMs = (progress: PeerProgress | undefined, leadership: Leadership) =>
	Math.max(progress?.lastAckMs ?? 0, leadership.startedAtMs);

/**
 * Sends heartbeats, and steps down when a majority has been silent for an election timeout.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function tickLeadership<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	const {nowMs, cfg} = context;
	if (leadership === undefined) {
		return createStep(state);
	}

	const quorumContactMs = getQuorumValue(state.voters.map(({node}) =>
		node === cfg.self ? nowMs : getLastAckMs(leadership.progress.get(node), leadership)));
	if (nowMs - quorumContactMs > cfg.limits.electionTimeoutMs) {
		return createStep({...transitionRole(state, {type: 'quorumLost'}), electionDeadlineMs: getElectionDeadline(context)});
	}

	return nowMs >= leadership.nextHeartbeatMs ? sendRound(state, context) : createStep(state);
}

const updateProgress = (
	progress: PeerProgress,
	message: AppendedMessage,
	{nowMs, sentAtMs}: {readonly nowMs: number; readonly sentAtMs: number | undefined},
): PeerProgress => {
	const acknowledged = {
		...progress,
		inFlight: Math.max(0, progress.inFlight - 1),
		ackedRound: Math.max(progress.ackedRound, message.round),
		ackedSentAtMs: Math.max(progress.ackedSentAtMs, sentAtMs ?? Number.NEGATIVE_INFINITY),
		lastAckMs: nowMs,
		echo: message.echo,
	};
	if (!message.isAccepted) {
		// A late refusal must not take back what the peer acknowledged since.
		const nextIndex = Math.max(progress.matchIndex, message.receivedIndex) + 1;
		return {
			...acknowledged, nextIndex, receivedIndex: nextIndex - 1, inFlight: 0,
		};
	}

	const receivedIndex = Math.max(progress.receivedIndex, message.receivedIndex);
	return {
		...acknowledged,
		matchIndex: Math.max(progress.matchIndex, message.matchIndex),
		receivedIndex,
		nextIndex: Math.max(progress.nextIndex, receivedIndex + 1),
	};
};

const isCommitHeartbeatDue = <Command>({leadership}: ReplicaState<Command>, {cfg: {limits}, nowMs}: ReplicaContext) => {
	const lastRoundMs = (leadership?.nextHeartbeatMs ?? nowMs) - limits.heartbeatPeriodMs;
	return nowMs - lastRoundMs >= limits.commitHeartbeatIntervalMs;
};

/**
 * Commits what has become possible, and tells the peers soon where no entries will.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function commitAndNotifyPeers<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	return chainSteps(
		advanceCommit(state, context),
		next => next.commitIndex > state.commitIndex && next.commitIndex === getLastIndex(next.log) && isCommitHeartbeatDue(next, context)
			? sendRound(next, context)
			: createStep(next),
	);
}

// A majority followed this leader when it sent the round, so its commits were the newest then.
const renewOwnConfigurationLease = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => {
	const sentAtMs = getConfirmedSendMs(state, context);
	const {leadership, confirmation} = state;
	const isNewer = sentAtMs > (confirmation.confirmedAtMs ?? Number.NEGATIVE_INFINITY);
	return leadership !== undefined && isNewer && state.commitIndex >= leadership.firstIndex
		? addConfirmation(state, {sentAtMs, index: state.commitIndex})
		: createStep(state);
};

/**
 * Takes a peer's answer to entries or a heartbeat.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The answer and its sender.
 * @returns The next step. An answer from another data folder than the voter's counts for nothing.
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
		createStep(setProgress(state, from, updateProgress(progress, message, {nowMs: context.nowMs, sentAtMs}))),
		next => commitAndNotifyPeers(next, context),
		next => renewOwnConfigurationLease(next, context),
		next => sendNewEntries(next, context, from),
	);
}
