import type {NodeId} from '@samphiremill/common';
import {hasLeaderLease} from './leader-lease.js';
import {
	getBytesBetween, getEntries, getLastIndex, getLastMessageIndex, getTerm,
} from './log.js';
import type {AppendMessage, ConfirmationEcho} from './messages.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {recordRewind, recordSentEntries} from './peer-traffic.js';
import type {
	Leadership, PeerProgress, ReplicaLimits, ReplicaState,
} from './types.js';

/**
 * Returns the state with new progress for a peer.
 *
 * @param state - A leader.
 * @param peer - A voter or learner.
 */
export function setProgress<Command>(
	state: ReplicaState<Command>,
	peer: NodeId,
	progress: PeerProgress,
): ReplicaState<Command> {
	const {leadership} = state;
	return leadership === undefined
		? state
		: {...state, leadership: {...leadership, progress: leadership.progress.set(peer, progress)}};
}

// The last index of the next message to a peer. Equal to `previousIndex` if no entry may be sent now: what is in flight is bounded in
// messages and in bytes, so that it fits into the send buffer beside the heartbeats. A peer with nothing in flight may always get one.
const getNextLastIndex = <Command>(
	{log}: ReplicaState<Command>,
	{maximumInFlightMessages, maximumInFlightBytes, ...limits}: ReplicaLimits,
	{nextIndex, receivedIndex, inFlight, isProbing}: PeerProgress,
): number => {
	const previousIndex = nextIndex - 1;
	const lastIndex = getLastMessageIndex(log, limits, {previousIndex, lastIndex: getLastIndex(log)});
	if (inFlight.length === 0) {
		return lastIndex;
	}

	const isFull = isProbing || inFlight.length >= maximumInFlightMessages;
	return isFull || getBytesBetween(log, {after: receivedIndex, upTo: lastIndex}) > maximumInFlightBytes ? previousIndex : lastIndex;
};

const createAppend = <Command>(
	state: ReplicaState<Command>,
	{round, previousIndex, lastIndex, confirms}: {
		readonly round: number;
		readonly previousIndex: number;
		readonly lastIndex: number;
		readonly confirms: ConfirmationEcho | undefined;
	},
): AppendMessage<Command> | undefined => {
	if (state.clusterId === undefined) {
		return undefined;
	}

	// A peer whose next entries are compacted gets a heartbeat that matches any log.
	const previousTerm = getTerm(state.log, previousIndex);
	const isCompacted = previousTerm === undefined;
	return {
		type: 'replica/append',
		clusterId: state.clusterId,
		term: state.term,
		round,
		previousIndex: isCompacted ? 0 : previousIndex,
		previousTerm: previousTerm ?? 0,
		entries: isCompacted ? [] : getEntries(state.log, {from: previousIndex + 1, until: lastIndex + 1}),
		commitIndex: isCompacted ? 0 : state.commitIndex,
		...(confirms !== undefined && !isCompacted && {confirms}),
	};
};

const addInFlight = <Command>(
	{log}: ReplicaState<Command>,
	{nowMs}: ReplicaContext,
	{progress, lastIndex}: {readonly progress: PeerProgress; readonly lastIndex: number},
): PeerProgress => {
	const previousIndex = progress.nextIndex - 1;
	return {
		...recordSentEntries(progress, getBytesBetween(log, {after: previousIndex, upTo: lastIndex})),
		nextIndex: lastIndex + 1,
		inFlight: [...progress.inFlight, {previousIndex, lastIndex}],
		inFlightSinceMs: progress.inFlight.length === 0 ? nowMs : progress.inFlightSinceMs,
	};
};

/**
 * Sends a peer one message: the next entries that it lacks, as far as they may be in flight now, or else a heartbeat.
 *
 * @param state - A leader.
 * @param peer - A voter or learner.
 */
export function sendAppend<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	peer: NodeId,
): ReplicaStep<Command> {
	const {leadership} = state;
	const progress = leadership?.progress.get(peer);
	if (leadership === undefined || progress === undefined) {
		return createStep(state);
	}

	const previousIndex = progress.nextIndex - 1;
	const message = createAppend(state, {
		round: leadership.round,
		previousIndex,
		lastIndex: getNextLastIndex(state, context.cfg.limits, progress),
		confirms: hasLeaderLease(state, context) ? progress.echo : undefined,
	});
	if (message === undefined) {
		return createStep(state);
	}

	const offer = previousIndex < state.log.baseIndex && state.snapshot !== undefined
		? [createSend<Command>(peer, {
			type: 'replica/snapshotOffer', index: state.snapshot.index, length: state.snapshot.data.length,
		})]
		: [];
	const next = message.entries.length === 0
		? state
		: setProgress(state, peer, addInFlight(state, context, {progress, lastIndex: previousIndex + message.entries.length}));
	return createStep(next, [createSend(peer, message), ...offer]);
}

/**
 * Sends a peer new entries until as many messages or bytes are in flight as may be.
 *
 * @param state - A leader.
 * @param peer - A voter or learner.
 */
export function sendNewEntries<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	peer: NodeId,
): ReplicaStep<Command> {
	let step = createStep(state);
	for (;;) {
		const progress = step.state.leadership?.progress.get(peer);
		const canSend = progress !== undefined
			&& progress.nextIndex <= getLastIndex(step.state.log)
			&& progress.nextIndex > step.state.log.baseIndex
			&& getNextLastIndex(step.state, context.cfg.limits, progress) >= progress.nextIndex;
		if (!canSend) {
			return step;
		}

		const next = sendAppend(step.state, context, peer);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}
}

// What is in flight for too long counts as lost. It may still arrive, so from then on one message at a time is sent. A peer that has never
// answered is sent nothing more.
const rewindLostMessages = (progress: PeerProgress, {cfg, nowMs}: ReplicaContext): PeerProgress => {
	const isOverdue = progress.inFlight.length > 0 && nowMs - progress.inFlightSinceMs > cfg.limits.retransmitTimeoutMs;
	return isOverdue && progress.lastAckMs > 0
		? {
			...recordRewind(progress), nextIndex: progress.receivedIndex + 1, inFlight: [], isProbing: true,
		}
		: progress;
};

/**
 * Starts a new round: sends one message to each peer, whose answers confirm this leader.
 *
 * @param state - A leader.
 */
export function sendRound<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {leadership} = state;
	if (leadership === undefined) {
		return createStep(state);
	}

	const {nowMs, cfg: {limits}} = context;
	const round = leadership.round + 1;
	const next: Leadership = {
		...leadership,
		round,
		roundSentAtMs: leadership.roundSentAtMs
			.filter(({sentAtMs}) => nowMs - sentAtMs <= limits.electionTimeoutMs)
			.push({round, sentAtMs: nowMs}),
		nextHeartbeatMs: nowMs + limits.heartbeatPeriodMs,
		progress: leadership.progress.map(progress => rewindLostMessages(progress, context)),
	};
	let step = createStep({...state, leadership: next});
	for (const peer of next.progress.keys()) {
		const sent = sendAppend(step.state, context, peer);
		step = {state: sent.state, effects: [...step.effects, ...sent.effects]};
	}

	return step;
}
