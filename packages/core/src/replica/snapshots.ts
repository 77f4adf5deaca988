import type {NodeId} from '@samphiremill/common';
import {
	entryBytesPerSnapshotLength, maximumDeferredSnapshots, requestResendIntervalMs, snapshotStallTimeoutMs,
} from './constants.js';
import {recordSnapshotProgress} from './leader-stall.js';
import {
	compactLog, createLog, getBytesBetween, getCompactionIndex, getLatestVoters, getRequestsUpTo, getTerm, truncateLog,
} from './log.js';
import type {PullSnapshotMessage, SnapshotChunkMessage, SnapshotOfferMessage} from './messages.js';
import {persistState, sendWhenPersisted} from './persistence.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {reconcileRole} from './roles.js';
import type {
	IncomingSnapshot, ReplicaLimits, ReplicaSnapshot, ReplicaState,
} from './types.js';

// A new snapshot replaces the one that a peer is fetching, which then has to begin again.
const isSendingSnapshot = <Command>({snapshotPulledAtMs}: ReplicaState<Command>, {nowMs}: ReplicaContext) =>
	nowMs - snapshotPulledAtMs < snapshotStallTimeoutMs;

// A large state gets a snapshot less often, so that writing it costs no more than a part of what the entries cost.
const getBytesUntilSnapshot = <Command>({snapshot}: ReplicaState<Command>, {minimumSnapshotBytes, maximumSnapshotBytes}: ReplicaLimits) =>
	Math.min(maximumSnapshotBytes, Math.max(minimumSnapshotBytes, entryBytesPerSnapshotLength * (snapshot?.data.length ?? 0)));

const isSnapshotDue = <Command>(state: ReplicaState<Command>, context: ReplicaContext): boolean => {
	const {limits} = context.cfg;
	const after = state.snapshot?.index ?? 0;
	const turns = isSendingSnapshot(state, context) ? 1 + maximumDeferredSnapshots : 1;
	const bytes = getBytesBetween(state.log, {after, upTo: state.commitIndex});
	return state.commitIndex - after >= turns * limits.snapshotEveryEntries
		|| bytes >= Math.min(limits.maximumLogBytes, turns * getBytesUntilSnapshot(state, limits));
};

/**
 * Requests a snapshot from the host once enough entries, or bytes of entries, were applied since the last one. While a peer
 * fetches that one, the new one waits, but the log does not grow without limit.
 */
export function requestSnapshot<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	return state.isSnapshotRequested || !isSnapshotDue(state, context)
		? createStep(state)
		: createStep({...state, isSnapshotRequested: true}, [{type: 'replica/takeSnapshot', index: state.commitIndex}]);
}

const getVotersAt = <Command>(state: ReplicaState<Command>, index: number) =>
	getLatestVoters(truncateLog(state.log, index + 1), {
		voters: state.snapshot?.voters ?? [], index: state.snapshot?.index ?? 0,
	}).voters;

/**
 * Handles the host's snapshot: writes it to disk and compacts the log behind it.
 *
 * @param taken - The serialised state and the index of the last entry applied to it.
 */
export function handleSnapshotTaken<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{index, data}: {readonly index: number; readonly data: string},
): ReplicaStep<Command> {
	const term = getTerm(state.log, index);
	const afterRequest = {...state, isSnapshotRequested: false};
	if (term === undefined || state.clusterId === undefined || index <= (state.snapshot?.index ?? 0)) {
		return createStep(afterRequest);
	}

	const snapshot: ReplicaSnapshot = {
		index, term, voters: getVotersAt(state, index), clusterId: state.clusterId, requests: getRequestsUpTo(state.log, index), data,
	};
	const log = compactLog(state.log, getCompactionIndex(state.log, index, context.cfg.limits));
	return persistState({...afterRequest, log, snapshot}, context, {snapshot, firstIndex: log.baseIndex + 1});
}

const getTransferTimes = (nowMs: number) => ({resendAtMs: nowMs + requestResendIntervalMs, stallDeadlineMs: nowMs + snapshotStallTimeoutMs});

// Tells a leader after which index to continue. The leader counts it only if it comes from a voter or learner,
// which have a disk.
const acknowledgeSnapshot = <Command>(
	state: ReplicaState<Command>,
	{cfg, nowMs}: ReplicaContext,
	{to, index}: {readonly to: NodeId; readonly index: number},
): ReplicaStep<Command> => cfg.storeId === undefined
	? createStep(state)
	: sendWhenPersisted(state, [{
		to,
		message: {
			type: 'replica/appended',
			term: state.term,
			storeId: cfg.storeId,
			round: 0,
			isAccepted: true,
			matchIndex: index,
			receivedIndex: index,
			echo: {life: state.confirmation.processIncarnation, sentAtMs: nowMs},
		},
	}]);

const createPull = <Command>({from, index, offset}: IncomingSnapshot) => createSend<Command>(from, {
	type: 'replica/pullSnapshot', index, offset,
});

// The sender has a newer snapshot and no longer the one being fetched, or it has stopped answering. The leader goes before
// others, since it gives up a learner that makes no progress with it; its transfer ends only by the stall, or slow
// transfers from two senders would end each other again and again.
const isReplacedBy = (current: IncomingSnapshot, offer: {readonly from: NodeId; readonly index: number}, {leader, nowMs}: {readonly leader: NodeId | undefined; readonly nowMs: number}) => {
	if (current.from === offer.from) {
		return offer.index > current.index;
	}

	if (current.from === leader) {
		return false;
	}

	const progressedAtMs = current.stallDeadlineMs - snapshotStallTimeoutMs;
	return offer.from === leader || nowMs - progressedAtMs >= requestResendIntervalMs;
};

/**
 * Handles the offer of a snapshot by a node that has compacted the entries needed here: starts to fetch the
 * snapshot. An offer during another transfer that makes progress is ignored; it is repeated later.
 */
export function handleSnapshotOffer<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: SnapshotOfferMessage},
): ReplicaStep<Command> {
	const {nowMs} = context;
	if (message.index <= state.commitIndex) {
		return acknowledgeSnapshot(state, context, {to: from, index: message.index});
	}

	const current = state.incomingSnapshot;
	if (current !== undefined && !isReplacedBy(current, {from, index: message.index}, {leader: state.leader, nowMs})) {
		return createStep(state);
	}

	const incomingSnapshot: IncomingSnapshot = {
		from, index: message.index, requests: [], chunks: [], offset: 0, length: message.length, ...getTransferTimes(nowMs),
	};
	return createStep({...state, incomingSnapshot}, [createPull(incomingSnapshot)]);
}

/** Sends a chunk of the snapshot. If a newer snapshot has replaced the requested one, offers the newer one. */
export function handlePullSnapshot<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: PullSnapshotMessage},
): ReplicaStep<Command> {
	const {snapshot} = state;
	if (snapshot === undefined) {
		return createStep(state);
	}

	const {index, term, voters, clusterId, requests, data} = snapshot;
	if (index !== message.index) {
		return createStep(state, [createSend(from, {type: 'replica/snapshotOffer', index, length: data.length})]);
	}

	const next = {...state, snapshotPulledAtMs: context.nowMs};
	return createStep(recordSnapshotProgress(next, context, {from, offset: message.offset}), [createSend(from, {
		type: 'replica/snapshotChunk',
		index,
		term,
		voters,
		clusterId,
		requests: message.offset === 0 ? requests : [],
		offset: message.offset,
		length: data.length,
		data: data.slice(message.offset, message.offset + context.cfg.limits.maximumChunkLength),
	})]);
}

const installSnapshot = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, snapshot}: {readonly from: NodeId; readonly snapshot: ReplicaSnapshot},
): ReplicaStep<Command> => {
	// Entries after a matching entry are kept. Any other entries are older than the snapshot.
	const isTailKept = getTerm(state.log, snapshot.index) === snapshot.term;
	const log = isTailKept ? compactLog(state.log, snapshot.index) : createLog<Command>(snapshot, snapshot.requests);
	const latest = getLatestVoters(log, {voters: snapshot.voters, index: snapshot.index});
	const next: ReplicaState<Command> = {
		...state,
		log,
		snapshot,
		clusterId: snapshot.clusterId,
		commitIndex: snapshot.index,
		voters: latest.voters,
		votersIndex: latest.index,
		incomingSnapshot: undefined,
	};
	return chainSteps(
		createStep(next, [{type: 'replica/installSnapshot', index: snapshot.index, data: snapshot.data}]),
		installed => persistState(reconcileRole(installed, context), context, {
			snapshot, firstIndex: snapshot.index + 1, ...(!isTailKept && {truncateFrom: 1}),
		}),
		persisted => acknowledgeSnapshot(persisted, context, {to: from, index: snapshot.index}),
	);
};

/**
 * Handles a chunk; the last one installs the snapshot. Chunks out of order or of another snapshot are dropped.
 */
export function handleSnapshotChunk<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: SnapshotChunkMessage},
): ReplicaStep<Command> {
	const incoming = state.incomingSnapshot;
	const isFromOtherCluster = state.clusterId !== undefined && state.clusterId !== message.clusterId;
	const isExpected = incoming?.from === from && incoming.index === message.index && incoming.offset === message.offset;
	if (incoming === undefined || !isExpected || isFromOtherCluster) {
		return createStep(state);
	}

	if (message.index <= state.commitIndex) {
		return createStep({...state, incomingSnapshot: undefined});
	}

	const requests = [...incoming.requests, ...message.requests];
	const chunks = [...incoming.chunks, message.data];
	const offset = incoming.offset + message.data.length;
	if (offset >= message.length) {
		const {index, term, voters, clusterId} = message;
		return installSnapshot(state, context, {
			from, snapshot: {
				index, term, voters, clusterId, requests, data: chunks.join(''),
			},
		});
	}

	const next: IncomingSnapshot = {
		...incoming, requests, chunks, offset, ...getTransferTimes(context.nowMs),
	};
	return createStep({...state, incomingSnapshot: next}, [createPull(next)]);
}

/**
 * Resends the request for the next chunk. Aborts a transfer without progress, so that the next offer from any
 * node can start a new one.
 */
export function tickSnapshot<Command>(state: ReplicaState<Command>, {nowMs}: ReplicaContext): ReplicaStep<Command> {
	const incoming = state.incomingSnapshot;
	if (incoming === undefined || nowMs < incoming.resendAtMs) {
		return createStep(state);
	}

	if (nowMs >= incoming.stallDeadlineMs) {
		return createStep({...state, incomingSnapshot: undefined});
	}

	const next = {...incoming, resendAtMs: nowMs + requestResendIntervalMs};
	return createStep({...state, incomingSnapshot: next}, [createPull(next)]);
}
