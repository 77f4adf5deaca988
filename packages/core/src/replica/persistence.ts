import {getLastIndex} from './log.js';
import {
	createSend, createStep, type AddressedMessage, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	HardState, LogEntry, PendingPersist, ReplicaSnapshot, ReplicaState,
} from './types.js';

/** What one write holds besides the hard state, which every write carries. */
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

const capPendingIndexes = (pending: readonly PendingPersist[], lastIndex: number) =>
	pending.map(entry => ({...entry, lastIndex: Math.min(entry.lastIndex, lastIndex)}));

/**
 * Writes the hard state and whatever comes with it.
 *
 * @param state - The state, with the change made already.
 * @param context - The set-up and the time.
 * @param request - What to write.
 * @returns The state that waits for the write. Nothing is written without a disk or after a failure.
 */
export function persistState<Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	request: PersistRequest<Command>,
): ReplicaStep<Command> {
	const {persistence} = state;
	if (cfg.storeId === undefined || persistence.hasFailed) {
		return createStep(state);
	}

	const sequence = persistence.nextSequence;
	const keptIndex = (request.truncateFrom ?? Number.POSITIVE_INFINITY) - 1;
	const pending = [
		...capPendingIndexes(persistence.pending, keptIndex),
		{
			sequence, lastIndex: getLastIndex(state.log), term: state.term, messages: [],
		},
	];
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
 * Sends messages as soon as everything written so far is synced.
 *
 * @param state - The state.
 * @param messages - What depends on the writes.
 * @returns The state that holds them, or the sends where nothing is being written.
 */
export function sendWhenPersisted<Command>(
	state: ReplicaState<Command>,
	messages: ReadonlyArray<AddressedMessage<Command>>,
): ReplicaStep<Command> {
	const {persistence} = state;
	const last = persistence.pending.at(-1);
	if (persistence.hasFailed) {
		return createStep(state);
	}

	if (last === undefined) {
		return createStep(state, messages.map(({to, message}) => createSend(to, message)));
	}

	const pending = [
		...persistence.pending.slice(0, -1),
		{...last, messages: [...last.messages, ...messages]},
	];
	return createStep({...state, persistence: {...persistence, pending}});
}

/**
 * Takes the news that the disk holds all writes up to a sequence number.
 *
 * @param state - The state.
 * @param sequence - The number of the last synced write.
 * @returns The state, and the sends that waited. Those of an older term are dropped.
 */
export function acknowledgePersist<Command>(state: ReplicaState<Command>, sequence: number): ReplicaStep<Command> {
	const {persistence} = state;
	if (persistence.hasFailed) {
		return createStep(state);
	}

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
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- held messages lose the command's type only to keep the state's type simple
	}, (messages as ReadonlyArray<AddressedMessage<Command>>).map(({to, message}) => createSend(to, message)));
}
