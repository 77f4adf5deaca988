import type {NodeId} from '@samphiremill/common';
import {requestResendIntervalMs} from './constants.js';
import {acceptEntries} from './following.js';
import {getEntry, getLastIndex} from './log.js';
import type {FormationAnswerMessage} from './messages.js';
import {hasVoter} from './quorum.js';
import {
	createSend, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import type {
	LogEntry, ReplicaConfig, ReplicaState, StoreId, VoterIdentity,
} from './types.js';

const getInitialVoters = (cfg: ReplicaConfig) =>
	cfg.nodes.filter(({isInitialVoter}) => isInitialVoter).map(({node}) => node).toSorted();

const isUninitialisedVoter = <Command>(state: ReplicaState<Command>, cfg: ReplicaConfig) =>
	cfg.storeId !== undefined
	&& state.clusterId === undefined
	&& getLastIndex(state.log) === 0
	&& getInitialVoters(cfg).includes(cfg.self);

// The first entry is the same on every initial voter, so it needs no vote.
const adoptInitialVoters = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{clusterId, voters}: {readonly clusterId: StoreId; readonly voters: readonly VoterIdentity[]},
): ReplicaStep<Command> => {
	const entry: LogEntry<Command> = {index: 1, term: 1, payload: {type: 'voters', voters}};
	return acceptEntries({...state, clusterId, term: Math.max(1, state.term)}, context, [entry]);
};

const formCluster = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => {
	const {cfg} = context;
	const {storeId} = cfg;
	const initialVoters = getInitialVoters(cfg);
	const {uninitialisedStores: blankStores} = state.formation;
	const others = initialVoters.filter(node => node !== cfg.self);
	const isComplete = others.every(node => blankStores.has(node));
	if (storeId === undefined || initialVoters[0] !== cfg.self || !isComplete) {
		return createStep(state);
	}

	const voters = initialVoters.map(node => ({node, storeId: blankStores.get(node) ?? storeId}));
	return adoptInitialVoters(state, context, {clusterId: storeId, voters});
};

/**
 * Lets a blank initial voter look for its cluster, or form one when every initial voter is blank.
 * An emptied disk looks blank as well, but then the others are not, and it stays without a vote.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @returns The next step.
 */
export function tickFormation<Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> {
	const {cfg, nowMs} = context;
	if (!isUninitialisedVoter(state, cfg) || nowMs < state.formation.nextQueryMs) {
		return createStep(state);
	}

	const others = getInitialVoters(cfg).filter(node => node !== cfg.self);
	if (others.length === 0) {
		return formCluster(state, context);
	}

	return createStep(
		{...state, formation: {...state.formation, nextQueryMs: nowMs + requestResendIntervalMs}},
		others.map(to => createSend<Command>(to, {type: 'replica/formationQuery'})),
	);
}

/**
 * Tells a blank node whether a cluster exists.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param from - The blank node.
 * @returns The next step.
 */
export function handleFormationQuery<Command>(
	state: ReplicaState<Command>,
	{cfg}: ReplicaContext,
	from: NodeId,
): ReplicaStep<Command> {
	const {storeId} = cfg;
	if (storeId === undefined) {
		return createStep(state);
	}

	const first = getEntry(state.log, 1)?.payload;
	const voters = first?.type === 'voters' ? first.voters : [];
	const formed = state.clusterId === undefined ? undefined : {clusterId: state.clusterId, voters};
	return createStep(state, [createSend(from, {type: 'replica/formationAnswer', storeId, formed})]);
}

/**
 * Takes the answer of another initial voter.
 *
 * @param state - The state.
 * @param context - The set-up and the time.
 * @param received - The answer and its sender.
 * @returns The next step: joins the first voter set where it names this very data folder, or forms it
 * where all are blank.
 */
export function handleFormationAnswer<Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: FormationAnswerMessage},
): ReplicaStep<Command> {
	const {self, storeId} = context.cfg;
	if (storeId === undefined || !isUninitialisedVoter(state, context.cfg)) {
		return createStep(state);
	}

	const {formed} = message;
	if (formed === undefined) {
		const blankStores = state.formation.uninitialisedStores.set(from, message.storeId);
		return formCluster({...state, formation: {...state.formation, uninitialisedStores: blankStores}}, context);
	}

	return hasVoter(formed.voters, {node: self, storeId})
		? adoptInitialVoters(state, context, formed)
		: createStep({...state, formation: {...state.formation, uninitialisedStores: state.formation.uninitialisedStores.delete(from)}});
}
