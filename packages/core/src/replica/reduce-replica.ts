import {assertNever, type NodeId} from '@samphiremill/common';
import {
	handleConfirmed, handlePoll, handlePollAnswer, completeConfirmations, tickConfirmation,
} from './confirmation.js';
import {
	handleRequestVote, handleVote, restartVoteWait, tickElection,
} from './elections.js';
import {
	handleFeed, handlePull, pushFeed, tickSubscribers,
} from './feed.js';
import {handleAppend} from './following.js';
import {handleFormationAnswer, handleFormationQuery, tickFormation} from './formation.js';
import type {ReplicaMessage, RequestMessage} from './messages.js';
import {acknowledgePersist} from './persistence.js';
import {
	finishProposals, handleForward, handleForwarded, handlePropose, resendProposals, tickProposals,
} from './proposals.js';
import {
	confirmReads, finishReads, handleRead, handleReadAnswer, handleReadRequest, tickReads,
} from './reads.js';
import {commitAndNotifyPeers, handleAppended, tickLeadership} from './replication.js';
import {
	chainSteps, createStep, type ReplicaContext, type ReplicaStep,
} from './replica-step.js';
import {reconcileRole} from './roles.js';
import {
	handlePullSnapshot, handleSnapshotChunk, handleSnapshotOffer, handleSnapshotTaken, requestSnapshot, tickSnapshot,
} from './snapshots.js';
import {
	continueTransfer, handleGiveWay, handleTimeoutNow, handleTransferLeadership,
} from './transfer.js';
import type {
	ReplicaConfig, ReplicaEffect, ReplicaEvent, ReplicaState,
} from './types.js';
import {tickUpstream} from './upstream.js';
import {
	continueVoterChange, handleChangeVoters, handleForwardVoterChange, handleVoterAnswer, tickVoterRequests,
} from './voter-changes.js';

const handleRequest = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: RequestMessage<Command>},
): ReplicaStep<Command> => {
	switch (message.type) {
		case 'replica/forward': {
			return handleForward(state, context, {from, message});
		}

		case 'replica/forwardVoterChange': {
			return handleForwardVoterChange(state, context, {...message, from});
		}

		case 'replica/forwarded': {
			return state.voterRequests.has(message.requestId)
				? handleVoterAnswer(state, message)
				: handleForwarded(state, context, message);
		}

		case 'replica/readRequest': {
			return handleReadRequest(state, context, {requestId: message.requestId, from});
		}

		case 'replica/readAnswer': {
			return handleReadAnswer(state, message);
		}

		default: {
			return assertNever(message);
		}
	}
};

const handleMessage = <Command>(
	state: ReplicaState<Command>,
	context: ReplicaContext,
	{from, message}: {readonly from: NodeId; readonly message: ReplicaMessage<Command>},
): ReplicaStep<Command> => {
	if ('requestId' in message) {
		return handleRequest(state, context, {from, message});
	}

	switch (message.type) {
		case 'replica/requestVote': {
			return handleRequestVote(state, context, {from, message});
		}

		case 'replica/vote': {
			return handleVote(state, context, {from, message});
		}

		case 'replica/append': {
			return handleAppend(state, context, {from, message});
		}

		case 'replica/appended': {
			return handleAppended(state, context, {from, message});
		}

		case 'replica/snapshotOffer': {
			return handleSnapshotOffer(state, context, {from, message});
		}

		case 'replica/pullSnapshot': {
			return handlePullSnapshot(state, context, {from, message});
		}

		case 'replica/snapshotChunk': {
			return handleSnapshotChunk(state, context, {from, message});
		}

		case 'replica/timeoutNow': {
			return handleTimeoutNow(state, context, message);
		}

		case 'replica/pull': {
			return handlePull(state, context, {from, message});
		}

		case 'replica/feed': {
			return handleFeed(state, context, {from, message});
		}

		case 'replica/confirmed': {
			return handleConfirmed(state, context, {from, message});
		}

		case 'replica/poll': {
			return handlePoll(state, context, {from, message});
		}

		case 'replica/pollAnswer': {
			return handlePollAnswer(state, {from, message});
		}

		case 'replica/formationQuery': {
			return handleFormationQuery(state, context, from);
		}

		case 'replica/formationAnswer': {
			return handleFormationAnswer(state, context, {from, message});
		}

		default: {
			return assertNever(message);
		}
	}
};

const tickAll = <Command>(state: ReplicaState<Command>, context: ReplicaContext): ReplicaStep<Command> => chainSteps(
	createStep(state),
	next => tickFormation(next, context),
	next => tickElection(next, context),
	next => tickLeadership(next, context),
	next => tickUpstream(next, context),
	next => tickSubscribers(next, context),
	next => tickConfirmation(next, context),
	next => tickSnapshot(next, context),
	next => tickProposals(next, context),
	next => tickReads(next, context),
	next => tickVoterRequests(next, context),
);

const handleEvent = <Command>(
	state: ReplicaState<Command>,
	event: ReplicaEvent<Command>,
	context: ReplicaContext,
): ReplicaStep<Command> => {
	switch (event.type) {
		case 'replica/tick': {
			return tickAll(state, context);
		}

		case 'peer/received': {
			return handleMessage(state, context, event);
		}

		case 'replica/propose': {
			return handlePropose(state, context, event);
		}

		case 'replica/read': {
			return handleRead(state, context, event.requestId);
		}

		case 'replica/persisted': {
			return chainSteps(
				acknowledgePersist(state, event.sequence),
				next => createStep(restartVoteWait(next, context)),
				next => commitAndNotifyPeers(next, context),
			);
		}

		case 'replica/snapshotTaken': {
			return handleSnapshotTaken(state, context, event);
		}

		case 'replica/transferLeadership': {
			return handleTransferLeadership(state, context, event.to);
		}

		case 'replica/giveWay': {
			return handleGiveWay(state, context);
		}

		case 'replica/changeVoters': {
			return handleChangeVoters(state, context, event);
		}

		default: {
			return assertNever(event);
		}
	}
};

const getAppliedRequests = <Command>(effects: ReadonlyArray<ReplicaEffect<Command>>) => effects
	.flatMap(effect => effect.type === 'replica/apply' ? effect.entries : [])
	.flatMap(({index, payload}) => payload.type === 'command' ? [{requestId: payload.requestId, index}] : []);

const handleCommitAdvance = <Command>(
	step: ReplicaStep<Command>,
	context: ReplicaContext,
	oldCommitIndex: number,
): ReplicaStep<Command> => step.state.commitIndex === oldCommitIndex
	? step
	: chainSteps(
		step,
		next => finishProposals(next, getAppliedRequests(step.effects)),
		next => finishReads(next),
		next => completeConfirmations(next),
		next => pushFeed(next, context),
		next => requestSnapshot(next, context),
	);

const emitRoleChange = <Command>(old: ReplicaState<Command>, step: ReplicaStep<Command>): ReplicaStep<Command> => {
	const {role, term, leader} = step.state;
	return role === old.role && leader === old.leader
		? step
		: createStep(step.state, [...step.effects, {
			type: 'replica/roleChanged', role, term, leader,
		}]);
};

/** Applies one event to a replica. Returns the next state and the effects to carry out, in order. */
export function reduceReplica<Command>(
	state: ReplicaState<Command>,
	event: ReplicaEvent<Command>,
	cfg: ReplicaConfig,
): ReplicaStep<Command> {
	const context = {cfg, nowMs: event.nowMs};
	const step = chainSteps(
		handleEvent(state, event, context),
		next => confirmReads(next, context),
		next => continueVoterChange(next, context),
		next => continueTransfer(next, context),
		next => createStep(reconcileRole(next, context)),
		next => next.leader === undefined || next.leader === state.leader ? createStep(next) : resendProposals(next, context),
	);
	return emitRoleChange(state, handleCommitAdvance(step, context, state.commitIndex));
}
