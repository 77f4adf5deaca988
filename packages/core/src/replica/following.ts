import type {NodeId} from '@samphiremill/common';
import {commitUpTo} from './commit.js';
import {handleHeartbeatConfirmation} from './confirmation.js';
import {
	appendEntries, getLastIndex, getLatestVoters, getTerm, truncateLog,
} from './log.js';
import type {AppendedMessage, AppendMessage} from './messages.js';
import {isDiskSlow, persistState, sendWhenPersisted} from './persistence.js';
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
 * Accepts entries that follow an entry which this log also holds. Entries that the log holds already are
 * skipped. From the first conflicting entry on, the log is replaced. The new entries are written to disk.
 *
 * @param entries - Entries without a gap.
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
	const next = {...state, log: appendEntries(retainedLog, newEntries, context.cfg.measureEntry)};
	return persistState(
		reconcileRole(isVoterSetAffected ? setVotersFromLog(next) : next, context),
		context,
		{entries: newEntries, ...(hasConflict && {truncateFrom: first.index})},
	);
}

/**
 * Returns whether the log holds the entry before the first received one. Committed entries are the same on
 * every node.
 *
 * @param index - The index before the first received entry.
 * @param term - The term of that entry.
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

// The leader's log is authoritative: up to the last received entry, this log is now equal to it.
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
			const {persistedIndex} = next.persistence;
			const answer = createAnswer(next, context, {
				round: message.round, isAccepted: true, matchIndex: lastIndex, receivedIndex: lastIndex,
			});
			if (answer === undefined) {
				return createStep(next);
			}

			// Without an answer the leader would send the same entries again and again, and take this node for lost.
			// The early answer acknowledges nothing that is not synced.
			const early = isDiskSlow(next, context)
				? [createSend<Command>(from, {...answer, matchIndex: Math.min(persistedIndex, lastIndex)})]
				: [];
			return chainSteps(createStep(next, early), waiting => sendWhenPersisted(waiting, [{to: from, message: answer}]));
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
	candidacies: 0,
});

const joinCluster = <Command>(state: ReplicaState<Command>, message: AppendMessage<Command>): ReplicaState<Command> =>
	state.clusterId === undefined ? {...state, clusterId: message.clusterId} : state;

/**
 * Handles entries or a heartbeat from a leader. A leader of another cluster gets no answer, a leader of an
 * older term gets a rejection.
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
