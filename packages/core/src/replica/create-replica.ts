import {Map as ImmutableMap} from 'immutable';
import {
	appendEntries, createLog, getLastIndex, getLatestVoters,
} from './log.js';
import {createStep, type ReplicaContext, type ReplicaStep} from './replica-step.js';
import {getElectionDeadline, reconcileRole} from './roles.js';
import type {
	LogEntry, RecoveredReplica, ReplicaConfig, ReplicaLog, ReplicaSnapshot, ReplicaState,
} from './types.js';

// The product of these two stays within the integers that a number represents exactly.
const incarnationCount = 2 ** 31;
const roundsPerIncarnation = 2 ** 21;

const restoreLog = <Command>(
	entries: ReadonlyArray<LogEntry<Command>>,
	snapshot: ReplicaSnapshot | undefined,
	measureEntry: ReplicaConfig['measureEntry'],
): ReplicaLog<Command> => {
	const [first] = entries;
	if (snapshot === undefined || first === undefined || first.index > snapshot.index) {
		const base = snapshot ?? {index: 0, term: 0};
		return appendEntries(createLog<Command>(base, snapshot?.requests), entries, measureEntry);
	}

	const compacted = snapshot.requests.filter(({index}) => index <= first.index);
	return appendEntries(createLog<Command>(first, compacted), entries.slice(1), measureEntry);
};

/**
 * Creates a replica, empty or from the state that its store recovered. A recovered snapshot is installed first.
 * The entries after it are applied once a leader confirms that they are committed.
 *
 * @param context - The configuration and the start time.
 * @param recovered - The content of the store; absent on a node without a disk.
 */
export function createReplica<Command>(
	context: ReplicaContext,
	recovered?: RecoveredReplica<Command>,
): ReplicaStep<Command> {
	const {nowMs} = context;
	const {hardState, snapshot, entries}: RecoveredReplica<Command> = recovered ?? {hardState: {term: 0}, entries: []};
	const log = restoreLog(entries, snapshot, context.cfg.measureEntry);
	const processIncarnation = Math.floor(context.cfg.random() * incarnationCount);
	const {voters, index} = getLatestVoters(log, {voters: snapshot?.voters ?? [], index: snapshot?.index ?? 0});
	const state: ReplicaState<Command> = {
		role: 'observer',
		term: hardState.term,
		votedFor: hardState.votedFor,
		clusterId: hardState.clusterId ?? snapshot?.clusterId,
		leader: undefined,
		log,
		snapshot,
		commitIndex: snapshot?.index ?? 0,
		voters,
		votersIndex: index,
		isSnapshotRequested: false,
		snapshotPulledAtMs: Number.NEGATIVE_INFINITY,
		electionDeadlineMs: getElectionDeadline(context),
		candidacies: 0,
		leaderLastHeardMs: nowMs,
		votes: [],
		leadership: undefined,
		persistence: {
			nextSequence: 1, persistedIndex: getLastIndex(log), pending: [],
		},
		proposals: ImmutableMap(),
		reads: ImmutableMap(),
		voterRequests: ImmutableMap(),
		incomingSnapshot: undefined,
		feed: {
			upstreamRank: 0, upstreamLastHeardMs: nowMs, upstreamRetryAtMs: nowMs, subscribers: ImmutableMap(),
		},
		confirmation: {
			processIncarnation,
			nextRound: processIncarnation * roundsPerIncarnation,
			nextPollMs: nowMs,
			lastPollMs: Number.NEGATIVE_INFINITY,
			polls: [],
			waitingRequests: ImmutableMap(),
			confirmedAtMs: undefined,
		},
		formation: {nextQueryMs: nowMs, uninitialisedStores: ImmutableMap()},
	};
	return createStep(reconcileRole(state, context), snapshot === undefined
		? []
		: [{type: 'replica/installSnapshot', index: snapshot.index, data: snapshot.data}]);
}
