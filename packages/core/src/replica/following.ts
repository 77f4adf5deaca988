import type {NodeId} from '@samphiremill/common';
import {commitUpTo} from './commit.js';
import {handleHeartbeatConfirmation} from './confirmation.js';
import {
	appendEntries, getLastIndex, getLatestVoters, getTerm, truncateLog,
} from './log.js';
import type {AppendedMessage, AppendMessage} from './messages.js';
import {persistState, sendWhenPersisted} from './persistence.js';
import {
	chainSteps, createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {
	enterTerm, getElectionDeadline, transitionRole, reconcileRole,
} from './roles.js';
import type {LogEntry, ReplicaState} from './types.js';

const setVotersFromLog = <Command>(state: ReplicaState<Command>): ReplicaState<Command> => {
	const {voters, index} = getLatestVoters(state.log, {
		voters: state.snapshot?.voters ?? [], index: state.snapshot?.index ?? 0,
	});
	return {...state, voters, votersIndex: index};
};

/**
 * Takes entries that follow one which this log holds as well. Those that it has already are skipped;
 * from the first that differs on, the log is replaced.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param entries - Entries without a gap.
 * @returns The state with the entries on their way to the disk.
 */
export function acceptEntries<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	entries: ReadonlyArray<LogEntry<Command>>,
): ReplicaStep<Command> {
	const firstNew = entries.findIndex(({index, term}) => index > state.commitIndex && getTerm(state.log, index) !== term);
	const newEntries = firstNew === -1 ? [] : entries.slice(firstNew);
	const [first] = newEntries;
	if (first === undefined) {
		return createStep(state);
	}

	const hasConflict = first.index <= getLastIndex(state.log);
	const retainedLog = hasConflict ? truncateLog(state.log, first.index) : state.log;
	const isVoterSetAffected = hasConflict || newEntries.some(({payload}) => payload.type === 'voters');
	const next = {...state, log: appendEntries(retainedLog, newEntries)};
	return persistState(
		reconcileRole(isVoterSetAffected ? setVotersFromLog(next) : next, context),
		context,
		{entries: newEntries, ...(hasConflict && {truncateFrom: first.index})},
	);
}

/**
 * @param state - The state.
 * @param index - The index before the first received entry.
 * @param term - That entry's term.
 * @returns Whether the log holds that entry. Committed entries are the same everywhere.
 */
export function hasPreviousEntry<Command>(state: ReplicaState<Command>, index: number, term: number): boolean {
	return index <= state.commitIndex || getTerm(state.log, index) === term;
}

const createAnswer = <Command>(
	state: ReplicaState<Command>,
	{cfg, nowMs}: ReplicaContext,
	answer: Pick<AppendedMessage, 'round' | 'isAccepted' | 'matchIndex' | 'receivedIndex'>,
): AppendedMessage | undefined => cfg.storeId === undefined
	? undefined
	: {
		type: 'replica/appended',
		term: state.term,
		storeId: cfg.storeId,
		echo: {life: state.confirmation.processIncarnation, sentAtMs: nowMs},
		...answer,
	};

// The leader's own log decides: whatever it holds up to the received entries is equal to ours.
const acceptAppend = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: AppendMessage<Command>},
): ReplicaStep<Command> => {
	const lastIndex = message.previousIndex + message.entries.length;
	return chainSteps(
		acceptEntries(state, context, message.entries),
		next => commitUpTo(next, Math.min(message.commitIndex, lastIndex)),
		next => handleHeartbeatConfirmation(next, message),
		next => {
			const {hasFailed, persistedIndex} = next.persistence;
			const answer = createAnswer(next, context, {
				round: message.round,
				isAccepted: true,
				matchIndex: hasFailed ? Math.min(persistedIndex, lastIndex) : lastIndex,
				receivedIndex: lastIndex,
			});
			if (answer === undefined) {
				return createStep(next);
			}

			// Without a working disk nothing is held back, since nothing new is acknowledged.
			return hasFailed
				? createStep(next, [createSend(from, answer)])
				: sendWhenPersisted(next, [{to: from, message: answer}]);
		},
	);
};

const rejectAppend = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: AppendMessage<Command>},
): ReplicaStep<Command> => {
	const lastIndex = getLastIndex(state.log);
	const isMissing = message.previousIndex > lastIndex;
	const answer = createAnswer(state, context, {
		round: message.round,
		isAccepted: false,
		matchIndex: 0,
		receivedIndex: isMissing ? lastIndex : state.commitIndex,
	});
	return createStep(state, answer === undefined ? [] : [createSend(from, answer)]);
};

const followLeader = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	leader: NodeId,
): ReplicaState<Command> => ({
	...(state.role === 'preCandidate' || state.role === 'candidate' ? transitionRole(state, {type: 'leaderHeard'}) : state),
	leader,
	leaderLastHeardMs: context.nowMs,
	electionDeadlineMs: getElectionDeadline(context),
});

const joinCluster = <Command>(state: ReplicaState<Command>, message: AppendMessage<Command>): ReplicaState<Command> =>
	state.clusterId === undefined ? {...state, clusterId: message.clusterId} : state;

/**
 * Takes a leader's entries or heartbeat.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The message and its sender.
 * @returns The next step. Another cluster's leader gets no answer, one of an older term a refusal.
 */
export function handleAppend<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	received: {readonly from: NodeId; readonly message: AppendMessage<Command>},
): ReplicaStep<Command> {
	const {from, message} = received;
	const isFromOtherCluster = state.clusterId !== undefined && state.clusterId !== message.clusterId;
	if (isFromOtherCluster || context.cfg.storeId === undefined) {
		return createStep(state);
	}

	if (message.term < state.term) {
		return rejectAppend(state, context, received);
	}

	return chainSteps(
		enterTerm(joinCluster(state, message), context, message.term),
		next => createStep(followLeader(next, context, from)),
		next => hasPreviousEntry(next, message.previousIndex, message.previousTerm)
			? acceptAppend(next, context, received)
			: rejectAppend(next, context, received),
	);
}
