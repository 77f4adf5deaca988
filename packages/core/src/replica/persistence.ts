import {maximumPendingMessages, maximumPendingWrites} from './constants.js';
import {getLastIndex} from './log.js';
import {
	createSend, createStep, type AddressedMessage, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	HardState, LogEntry, PendingPersist, ReplicaSnapshot, ReplicaState,
} from './types.js';

/** The content of one write besides the hard state, which every write includes. */
export type PersistRequest<Command> = {
	readonly truncateFrom?: number;
	readonly entries?: ReadonlyArray<LogEntry<Command>>;
	readonly snapshot?: ReplicaSnapshot;
	readonly firstIndex?: number;
};

const getHardState = <Command>(state: ReplicaState<Command>): HardState => ({
	term: state.term,
	...(state.votedFor !== undefined && {votedFor: state.votedFor}),
	...(state.clusterId !== undefined && {clusterId: state.clusterId}),
});

const capPendingIndexes = (pending: readonly PendingPersist[], lastIndex: number) => lastIndex === Number.POSITIVE_INFINITY
	? pending
	: pending.map(entry => ({...entry, lastIndex: Math.min(entry.lastIndex, lastIndex)}));

// While the disk is full, more and more writes become pending. From a number on, each new one joins the last: what waits for
// the last then waits for the new one too.
const addPendingWrite = (pending: readonly PendingPersist[], write: PendingPersist): readonly PendingPersist[] => {
	const last = pending.at(-1);
	return last === undefined || pending.length < maximumPendingWrites
		? [...pending, write]
		: [...pending.slice(0, -1), {...write, sinceMs: last.sinceMs, messages: last.term === write.term ? last.messages : []}];
};

/**
 * Writes the hard state together with the requested content. Without a disk, nothing is written.
 *
 * @param state - The state in which the change has already been made.
 */
export function persistState<Command>(
	state: ReplicaState<Command>,
	{cfg, nowMs}: ReplicaContext,
	request: PersistRequest<Command>,
): ReplicaStep<Command> {
	const {persistence} = state;
	if (cfg.storeId === undefined) {
		return createStep(state);
	}

	const sequence = persistence.nextSequence;
	const keptIndex = (request.truncateFrom ?? Number.POSITIVE_INFINITY) - 1;
	const pending = addPendingWrite(capPendingIndexes(persistence.pending, keptIndex), {
		sequence, sinceMs: nowMs, lastIndex: getLastIndex(state.log), term: state.term, messages: [],
	});
	return createStep({
		...state,
		persistence: {
			...persistence,
			nextSequence: sequence + 1,
			persistedIndex: Math.min(persistence.persistedIndex, keptIndex),
			pending,
		},
	}, [{
		type: 'replica/persist', sequence, hardState: getHardState(state), entries: [], ...request,
	}]);
}

/**
 * Sends messages once everything written so far is synced; immediately if no write is pending. Of many
 * messages, the oldest are dropped.
 *
 * @param messages - The messages that depend on the writes.
 */
export function sendWhenPersisted<Command>(
	state: ReplicaState<Command>,
	messages: ReadonlyArray<AddressedMessage<Command>>,
): ReplicaStep<Command> {
	const {persistence} = state;
	const last = persistence.pending.at(-1);
	if (last === undefined) {
		return createStep(state, messages.map(({to, message}) => createSend(to, message)));
	}

	const pending = [
		...persistence.pending.slice(0, -1),
		{...last, messages: [...last.messages, ...messages].slice(-maximumPendingMessages)},
	];
	return createStep({...state, persistence: {...persistence, pending}});
}

/** Returns whether the disk has not synced a write for longer than the time between two heartbeats. */
export function isDiskSlow<Command>({persistence}: ReplicaState<Command>, {cfg, nowMs}: ReplicaContext): boolean {
	const [oldest] = persistence.pending;
	return oldest !== undefined && nowMs - oldest.sinceMs > cfg.limits.heartbeatPeriodMs;
}

/**
 * Handles the acknowledgement that all writes up to a sequence number are synced, and sends the messages that
 * waited for them. Messages of an older term are dropped.
 *
 * @param sequence - The number of the last synced write.
 */
export function acknowledgePersist<Command>(state: ReplicaState<Command>, sequence: number): ReplicaStep<Command> {
	const {persistence} = state;
	const syncedWrites = persistence.pending.filter(entry => entry.sequence <= sequence);
	const persistedIndex = Math.max(persistence.persistedIndex, syncedWrites.at(-1)?.lastIndex ?? 0);
	const messages = syncedWrites.filter(({term}) => term === state.term).flatMap(entry => entry.messages);
	return createStep({
		...state,
		persistence: {
			...persistence,
			persistedIndex,
			pending: persistence.pending.filter(entry => entry.sequence > sequence),
		},
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the state keeps these messages as `unknown`, so that its type stays simple
	}, (messages as ReadonlyArray<AddressedMessage<Command>>).map(({to, message}) => createSend(to, message)));
}
