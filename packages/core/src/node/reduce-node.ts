import type {DataCentreId, MonotonicMs, NodeId} from '@samphiremill/common';
import {Map as ImmutableMap} from 'immutable';
import {createClaimsState, reduceClaims, type ClaimsEvent} from '../claims/index.js';
import {createControlState} from '../control/index.js';
import {createEscrowState, reduceEscrow, type EscrowEvent} from '../escrow/index.js';
import {createJobsState, reduceJobs, type JobsEvent} from '../jobs/index.js';
import {createMembershipState, reduceMembership, type MembershipEvent} from '../membership/index.js';
import {listDataCentreBounds, applyDemandChanges, applyHeldRights} from './escrow-bridge.js';
import {getJobsPolicy, listPlaceableMinions} from './placeable-minions.js';
import {isInternalEffect, routeEffect} from './route-effects.js';
import type {
	NodeConfig, NodeEffect, NodeEvent, NodeState, NodeStep, PartEffect,
} from './types.js';

type PartStep = {readonly state: NodeState; readonly effects: readonly PartEffect[]};

/**
 * @param options - Who this entry host is, its configuration and the time.
 * @returns An entry host that knows no records, no minions and no jobs.
 */
export function createNodeState({self, dataCentre, cfg, nowMs}: {
	readonly self: NodeId;
	readonly dataCentre: DataCentreId;
	readonly cfg: NodeConfig;
	readonly nowMs: MonotonicMs;
}): NodeState {
	return {
		self,
		dataCentre,
		control: createControlState(),
		isConfigurationFresh: false,
		membership: createMembershipState(cfg.membership, nowMs),
		claims: createClaimsState(self, dataCentre),
		escrow: createEscrowState(nowMs),
		jobs: createJobsState(),
		heldSlots: ImmutableMap(),
		demands: ImmutableMap(),
	};
}

const applyToClaims = (state: NodeState, event: ClaimsEvent, cfg: NodeConfig): PartStep => {
	const {state: claims, effects} = reduceClaims(state.claims, event, cfg.claims);
	return {state: {...state, claims}, effects};
};

const applyToJobs = (state: NodeState, event: JobsEvent, cfg: NodeConfig): PartStep => {
	const {state: jobs, effects} = reduceJobs(state.jobs, event, cfg.jobs);
	return {state: {...state, jobs}, effects};
};

const applyToEscrow = (state: NodeState, event: EscrowEvent, cfg: NodeConfig): PartStep => {
	const {state: escrow, effects} = reduceEscrow(state.escrow, event, cfg.escrow);
	return {state: {...state, escrow}, effects};
};

const applyToMembership = (state: NodeState, event: MembershipEvent, cfg: NodeConfig): PartStep => {
	const {state: membership, effects} = reduceMembership(state.membership, event, cfg.membership);
	return {state: {...state, membership}, effects};
};

const isClaimsEvent = (event: {readonly type: string}): event is ClaimsEvent => event.type.startsWith('claims/');
const isJobsEvent = (event: {readonly type: string}): event is JobsEvent => event.type.startsWith('jobs/');

// Escrow also takes what membership tells of minions and entry hosts.
const isEscrowEvent = (event: {readonly type: string}): event is EscrowEvent =>
	event.type.startsWith('escrow/') || event.type === 'minions/changed' || event.type === 'membership/changed';

type ReceivedEvent = Extract<NodeEvent, {readonly type: 'peer/received'}>;
type ReceivedBy<Event extends {readonly type: string}> = Extract<Event, {readonly type: 'peer/received'}>;

const isForClaims = (event: ReceivedEvent): event is ReceivedBy<ClaimsEvent> => event.message.type.startsWith('claims/');
const isForEscrow = (event: ReceivedEvent): event is ReceivedBy<EscrowEvent> => event.message.type.startsWith('escrow/');

const isForMembership = (event: ReceivedEvent): event is ReceivedBy<MembershipEvent> => /^(?:membership|minions)\//v.test(event.message.type);

const receiveMessage = (state: NodeState, event: ReceivedEvent, cfg: NodeConfig): PartStep => {
	if (isForClaims(event)) {
		return applyToClaims(state, event, cfg);
	}

	if (isForEscrow(event)) {
		return applyToEscrow(state, event, cfg);
	}

	return isForMembership(event) ? applyToMembership(state, event, cfg) : {state, effects: []};
};

/** What changed records mean to the parts, in the order in which the parts depend on each other. */
const listControlEvents = (state: NodeState, previous: NodeState, {isRestart, nowMs}: {
	readonly isRestart: boolean;
	readonly nowMs: MonotonicMs;
}): NodeEvent[] => {
	const changedViews = [...state.control.views.values()].filter(view => previous.control.views.get(view.dataCentre) !== view);
	return [
		...changedViews.map((view): NodeEvent => ({
			type: 'claims/viewChanged', view, isRestart, nowMs,
		})),
		...changedViews
			.filter(view => view.dataCentre === state.dataCentre)
			.map((view): NodeEvent => ({type: 'escrow/viewChanged', view, nowMs})),
		{type: 'escrow/teamBoundsChanged', bounds: listDataCentreBounds(state), nowMs},
		{type: 'jobs/policyChanged', policy: getJobsPolicy(state), nowMs},
		{type: 'jobs/minionsChanged', minions: listPlaceableMinions(state), nowMs},
	];
};

const listTickEvents = (nowMs: MonotonicMs): NodeEvent[] => [
	{type: 'membership/tick', nowMs},
	{type: 'claims/tick', nowMs},
	{type: 'escrow/tick', nowMs},
	{type: 'jobs/tick', nowMs},
];

type EventResult = PartStep & {readonly events: readonly NodeEvent[]};

const applyEvent = (state: NodeState, event: NodeEvent, cfg: NodeConfig): EventResult => {
	if (event.type === 'node/controlChanged') {
		const next = {...state, control: event.control};
		return {state: next, effects: [], events: listControlEvents(next, state, event)};
	}

	if (event.type === 'node/freshnessChanged') {
		const {isFresh, nowMs} = event;
		return {
			state: {...state, isConfigurationFresh: isFresh},
			effects: [],
			events: [
				{type: 'claims/freshnessChanged', isFresh, nowMs},
				{type: 'escrow/configurationLease', isFresh, nowMs},
			],
		};
	}

	if (event.type === 'node/rightsHeld') {
		return {...applyHeldRights({state, ...event}), effects: []};
	}

	if (event.type === 'node/demandChanged') {
		const applied = applyDemandChanges({state, ...event});
		return {state: applied.state, effects: [], events: [applied.event]};
	}

	if (event.type === 'node/tick') {
		return {state, effects: [], events: listTickEvents(event.nowMs)};
	}

	if (event.type === 'peer/received') {
		return {...receiveMessage(state, event, cfg), events: []};
	}

	if (isClaimsEvent(event)) {
		return {...applyToClaims(state, event, cfg), events: []};
	}

	if (isEscrowEvent(event)) {
		return {...applyToEscrow(state, event, cfg), events: []};
	}

	return isJobsEvent(event)
		? {...applyToJobs(state, event, cfg), events: []}
		: {...applyToMembership(state, event, cfg), events: []};
};

/**
 * Carries one entry host on by one event, and by all that the event leads to inside it.
 *
 * @param state - The entry host so far.
 * @param event - What happened.
 * @param cfg - What varies between deployments.
 * @returns The next state, and the effects for the shell in the order in which they came about.
 */
export function reduceNode(state: NodeState, event: NodeEvent, cfg: NodeConfig): NodeStep {
	let current = state;
	const effects: NodeEffect[] = [];
	const pendingEvents: NodeEvent[] = [event];
	for (let next = pendingEvents.shift(); next !== undefined; next = pendingEvents.shift()) {
		const former = current;
		const step = applyEvent(current, next, cfg);
		current = step.state;
		pendingEvents.push(...step.events);
		for (const effect of step.effects) {
			if (!isInternalEffect(effect)) {
				effects.push(effect);
				continue;
			}

			const routed = routeEffect({
				effect, state: current, former, nowMs: next.nowMs,
			});
			pendingEvents.push(...routed.events);
			effects.push(...routed.effects);
		}
	}

	return {state: current, effects};
}
