/**
 * Combines the three parts of membership: the entry hosts of the own data centre, the minions that they
 * know, and the summaries of other data centres.
 */
import type {MonotonicMs, NodeId} from '@samphiremill/common';
import {createMinionsState, reduceMinions} from '../minions/reduce-minions.js';
import {listFleetWorkers} from '../minions/selectors.js';
import type {
	MinionsConfig, MinionsEffect, MinionsEvent, MinionsMessage, MinionsState,
} from '../minions/types.js';
import type {Step} from '../step.js';
import {
	answerProbe, createNodesState, leaveNodes, listLivePeers, receiveHeartbeat, receiveLeave, receiveProbeAnswer,
	suspectPeer, tickNodes, type MembershipSend, type NodesState,
} from './nodes.js';
import {
	answerSummaryRequest, createSummariesState, receiveSummary, tickSummaries, type SummariesState,
} from './summaries.js';
import type {
	MembershipConfig, MembershipMessage, MembershipView,
} from './types.js';
import {createMembershipView, isSameView} from './view.js';

/** The state of entry hosts, minions and other data centres, as seen by this node. */
export type MembershipState = {
	readonly nodes: NodesState;
	readonly minions: MinionsState;
	readonly summaries: SummariesState;
	/** The view of the last `membership/changed` effect. */
	readonly view: MembershipView;
};

/** An event of membership. Events about minions are passed on to the minion directory. */
export type MembershipEvent
	= | {readonly type: 'membership/tick'; readonly nowMs: MonotonicMs}
		| {
			readonly type: 'membership/linkChanged';
			readonly peer: NodeId;
			readonly isUp: boolean;
			readonly nowMs: MonotonicMs;
		}
		/** This node starts its planned stop. */
		| {readonly type: 'membership/leave'; readonly nowMs: MonotonicMs}
		| {
			readonly type: 'peer/received';
			readonly from: NodeId;
			readonly message: MembershipMessage | MinionsMessage;
			readonly nowMs: MonotonicMs;
		}
		| Exclude<MinionsEvent, {readonly type: 'peer/received' | 'membership/changed' | 'minions/tick'}>;

/** An effect of membership, for the shell or for the other parts. */
export type MembershipEffect
	= | MembershipSend
		| MinionsEffect
		| {readonly type: 'membership/changed'; readonly view: MembershipView};

/** The configuration of membership and of the minion directory. */
export type MembershipPartConfig = {
	readonly membership: MembershipConfig;
	readonly minions: MinionsConfig;
};

type MembershipStep = Step<MembershipState, MembershipEffect>;

/** Creates the state of a node that has not received any message yet. */
export function createMembershipState(cfg: MembershipPartConfig, nowMs: MonotonicMs): MembershipState {
	const nodes = createNodesState(cfg.membership, nowMs);
	const summaries = createSummariesState();
	const view = createMembershipView({nodes, summaries}, {cfg: cfg.membership, nowMs, previous: undefined});
	return {
		nodes, summaries, minions: createMinionsState(), view,
	};
}

function applyToMinions(state: MembershipState, event: MinionsEvent, cfg: MembershipPartConfig): MembershipStep {
	const {state: minions, effects} = reduceMinions(state.minions, event, cfg.minions);
	return {state: minions === state.minions ? state : {...state, minions}, effects};
}

/** Publishes the view to the other parts, to the minion directory first, if it differs from the last published one. */
function publishView({state, effects}: MembershipStep, cfg: MembershipPartConfig, nowMs: MonotonicMs): MembershipStep {
	const view = createMembershipView(state, {cfg: cfg.membership, nowMs, previous: state.view});
	if (isSameView(view, state.view)) {
		return {state, effects};
	}

	const step = applyToMinions({...state, view}, {type: 'membership/changed', view, nowMs}, cfg);
	return {state: step.state, effects: [...effects, ...step.effects, {type: 'membership/changed', view}]};
}

function handleTick(state: MembershipState, nowMs: MonotonicMs, cfg: MembershipPartConfig): MembershipStep {
	const nodes = tickNodes(state.nodes, cfg.membership, nowMs);
	const minions = reduceMinions(state.minions, {type: 'minions/tick', nowMs}, cfg.minions);
	const summaries = tickSummaries(state.summaries, {
		nodes: nodes.state, workers: listFleetWorkers(minions.state), cfg: cfg.membership, nowMs,
	});
	const next = {
		...state, nodes: nodes.state, minions: minions.state, summaries: summaries.state,
	};
	return publishView({state: next, effects: [...nodes.effects, ...minions.effects, ...summaries.effects]}, cfg, nowMs);
}

function handleNodesChanged(state: MembershipState, nodes: NodesState, {cfg, nowMs}: {readonly cfg: MembershipPartConfig; readonly nowMs: MonotonicMs}): MembershipStep {
	return publishView({state: {...state, nodes}, effects: []}, cfg, nowMs);
}

function handleSummary(state: MembershipState, received: {
	readonly from: NodeId;
	readonly message: MembershipMessage & {type: 'membership/summary'};
	readonly nowMs: MonotonicMs;
}, cfg: MembershipPartConfig): MembershipStep {
	const step = receiveSummary(state.summaries, {
		...received, peers: listLivePeers(state.nodes), cfg: cfg.membership,
	});
	return publishView({state: {...state, summaries: step.state}, effects: step.effects}, cfg, received.nowMs);
}

function receiveMessage(state: MembershipState, event: MembershipEvent & {type: 'peer/received'}, cfg: MembershipPartConfig): MembershipStep {
	const {from, message, nowMs} = event;
	const context = {cfg, nowMs};
	switch (message.type) {
		case 'membership/heartbeat': {
			return handleNodesChanged(state, receiveHeartbeat(state.nodes, {from, message, nowMs}), context);
		}

		case 'membership/leave': {
			return handleNodesChanged(state, receiveLeave(state.nodes, {from, message, nowMs}), context);
		}

		case 'membership/probe': {
			return {state, effects: answerProbe(state.nodes, {from, message, nowMs})};
		}

		case 'membership/probeAnswer': {
			return handleNodesChanged(state, receiveProbeAnswer(state.nodes, {from, message, nowMs}), context);
		}

		case 'membership/summary': {
			return handleSummary(state, {from, message, nowMs}, cfg);
		}

		case 'membership/summaryRequest': {
			const {dataCentre} = message;
			return {
				state,
				effects: answerSummaryRequest(state.summaries, {
					from, dataCentre, cfg: cfg.membership, nowMs,
				}),
			};
		}

		case 'minions/announced':
		case 'minions/renewed':
		case 'minions/wanted': {
			return applyToMinions(state, {
				type: 'peer/received', from, message, nowMs,
			}, cfg);
		}
	}
}

function handleLinkChanged(state: MembershipState, {peer, isUp, nowMs}: MembershipEvent & {type: 'membership/linkChanged'}, cfg: MembershipPartConfig): MembershipStep {
	return isUp
		? {state, effects: []}
		: handleNodesChanged(state, suspectPeer(state.nodes, {node: peer, cfg: cfg.membership, nowMs}), {cfg, nowMs});
}

function handleLeave(state: MembershipState, cfg: MembershipPartConfig): MembershipStep {
	const {state: nodes, effects} = leaveNodes(state.nodes, cfg.membership);
	return {state: {...state, nodes}, effects};
}

/**
 * Applies one event to membership.
 *
 * @param event - `membership/tick` is expected about every 100 ms.
 * @returns The next state, and the effects: messages, probes and reports to the other parts.
 */
export function reduceMembership(state: MembershipState, event: MembershipEvent, cfg: MembershipPartConfig): MembershipStep {
	switch (event.type) {
		case 'membership/tick': {
			return handleTick(state, event.nowMs, cfg);
		}

		case 'membership/linkChanged': {
			return handleLinkChanged(state, event, cfg);
		}

		case 'membership/leave': {
			return handleLeave(state, cfg);
		}

		case 'peer/received': {
			return receiveMessage(state, event, cfg);
		}

		case 'minions/announced':
		case 'minions/renewed':
		case 'minions/leaving':
		case 'minions/connectionMute':
		case 'minions/probed': {
			return applyToMinions(state, event, cfg);
		}
	}
}
