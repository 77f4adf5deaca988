import type {NodeId} from '@samphiremill/common';
import {hasLeaderLease} from './leader-lease.js';
import {getLastIndex, getMessageEntries, getTerm} from './log.js';
import type {AppendMessage, ConfirmationEcho} from './messages.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {recordRewind, recordSentEntries} from './peer-traffic.js';
import type {Leadership, PeerProgress, ReplicaState} from './types.js';

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

const createAppend = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{round, previousIndex, confirms}: {
		readonly round: number;
		readonly previousIndex: number;
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
		entries: isCompacted ? [] : getMessageEntries(state.log, context.cfg, {from: previousIndex + 1, until: getLastIndex(state.log) + 1}),
		commitIndex: isCompacted ? 0 : state.commitIndex,
		...(confirms !== undefined && !isCompacted && {confirms}),
	};
};

/**
 * Sends a peer the entries it lacks, as one message that counts as in flight.
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
	const message = createAppend(state, context, {
		round: leadership.round,
		previousIndex,
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
	const nextIndex = progress.nextIndex + message.entries.length;
	const inFlight = progress.inFlight + (message.entries.length > 0 ? 1 : 0);
	return createStep(
		setProgress(state, peer, recordSentEntries({...progress, nextIndex, inFlight}, message.entries, context.cfg.measureEntry)),
		[createSend(peer, message), ...offer],
	);
}

/**
 * Sends a peer new entries until the maximum number of unanswered messages is in flight.
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
			&& progress.inFlight < context.cfg.limits.maximumInFlightMessages;
		if (!canSend) {
			return step;
		}

		const next = sendAppend(step.state, context, peer);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}
}

const rewindLostMessages = (progress: PeerProgress, {cfg, nowMs}: ReplicaContext): PeerProgress => {
	const isWaiting = progress.nextIndex > progress.receivedIndex + 1;
	const isOverdue = nowMs - progress.lastAckMs > cfg.limits.retransmitTimeoutMs;
	return isWaiting && isOverdue && progress.lastAckMs > 0
		? {...recordRewind(progress), nextIndex: progress.receivedIndex + 1, inFlight: 0}
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
