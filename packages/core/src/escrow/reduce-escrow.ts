/**
 * The reducer of escrow, which combines the holder and the home side. Each entry host holds rights, and is
 * the home of the resources that rendezvous hashing over the committed view assigns to it. Messages to
 * itself are handled immediately.
 */
import type {
	MinionId, MonotonicMs, NodeId, PoolId, TeamId,
} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import type {KnownMinion} from '../membership/types.js';
import type {Step} from '../step.js';
import {holderPollPeriodMs, minimumReportRequestIntervalMs, minimumReportIntervalMs} from './constants.js';
import {
	createHolderState, dropExpiredRights, getHeldAmount, setUsage, applyGrant, createReport, type HolderState,
} from './holder.js';
import {
	answerReport, beginEpoch, createHomeState, recordHolderUsage, recordReport, hasSameItems, canLend, listHoldersToPoll,
	setLentResources, expireLoans, type HomeState,
} from './home.js';
import {
	createLimitReportsState, setLeader, recordLimitReports, createLimitReport, type LimitReportsState,
} from './limit-reports.js';
import {getResourceKey, rankForResource} from './resources.js';
import type {TeamLimitReport} from './team-grants/types.js';
import type {
	EscrowConfig, EscrowDemand, EscrowEffect, EscrowEvent, EscrowMessage, EscrowResource, HeldRight, TeamBound,
} from './types.js';

/** A minion and its slots, which are lent. */
export type SlotSource = {
	readonly minion: MinionId;
	readonly incarnation: number;
	readonly pool: PoolId;
	/** The number of slots. 0 if the minion is leaving. */
	readonly slots: number;
};

/** A resource with its key and home, which are stored as they are costly to compute. */
export type ResourceWithHome = {
	readonly key: string;
	readonly resource: EscrowResource;
	readonly home: NodeId | undefined;
};

/** The escrow state of one entry host. */
export type EscrowState = {
	readonly holder: HolderState;
	readonly home: HomeState;
	readonly minions: ImmutableMap<MinionId, SlotSource>;
	readonly teamBounds: ImmutableMap<TeamId, TeamBound>;
	/** All resources that this node knows, by key. */
	readonly knownResources: ImmutableMap<string, ResourceWithHome>;
	readonly waitingByPool: ImmutableMap<PoolId, number>;
	readonly waitingByTeam: ImmutableMap<TeamId, number>;
	readonly limitReports: LimitReportsState;
	readonly isLeaving: boolean;
	readonly lastReportAtMsByHome: ImmutableMap<NodeId, MonotonicMs>;
	readonly lastReportRequestAtMsByHolder: ImmutableMap<NodeId, MonotonicMs>;
	readonly lastHolderPollAtMs: MonotonicMs;
	/** The rights last published by `escrow/held` effects, by resource key. */
	readonly publishedRights: ImmutableMap<string, HeldRight>;
};

type EscrowStep = Step<EscrowState, EscrowEffect>;
type Context = {readonly cfg: EscrowConfig; readonly nowMs: MonotonicMs};

/**
 * Creates the state of a node that holds no rights and knows no view.
 *
 * @param nowMs - The time of the process start.
 */
export function createEscrowState(nowMs: MonotonicMs): EscrowState {
	return {
		holder: createHolderState(),
		home: createHomeState(nowMs),
		minions: createMap(),
		teamBounds: createMap(),
		knownResources: createMap(),
		waitingByPool: createMap(),
		waitingByTeam: createMap(),
		limitReports: createLimitReportsState(),
		isLeaving: false,
		lastReportAtMsByHome: createMap(),
		lastReportRequestAtMsByHolder: createMap(),
		lastHolderPollAtMs: nowMs,
		publishedRights: createMap(),
	};
}

function createSlotResource({minion, incarnation}: Pick<SlotSource, 'minion' | 'incarnation'>): EscrowResource {
	return {type: 'slot', minion, incarnation};
}

function createTeamLimitResource(team: TeamId): EscrowResource {
	return {type: 'teamLimit', team};
}

function listResources(state: EscrowState): ReadonlyArray<{readonly resource: EscrowResource; readonly bound: number}> {
	return [
		...[...state.minions.values()].map(source => ({resource: createSlotResource(source), bound: source.slots})),
		...[...state.teamBounds.values()].map(({team, amount}) => ({resource: createTeamLimitResource(team), bound: amount})),
	];
}

function createResourceWithHome(state: EscrowState, resource: EscrowResource): ResourceWithHome {
	return {key: getResourceKey(resource), resource, home: rankForResource(resource, state.home.members)[0]};
}

/** Updates the resources of the home from the known minions, the team bounds and the view. */
function updateLentResources(state: EscrowState, {self}: EscrowConfig): EscrowState {
	const keyed = listResources(state).map(({resource, bound}) => ({...createResourceWithHome(state, resource), bound}));
	return {
		...state,
		knownResources: createMap(keyed.map(({key, resource, home}): [string, ResourceWithHome] => [key, {key, resource, home}])),
		home: setLentResources(state.home, keyed.filter(({home}) => home === self).map(({resource, bound}) => ({resource, bound}))),
	};
}

function getWaiting(state: EscrowState, resource: EscrowResource): number {
	if (state.isLeaving) {
		return 0;
	}

	if (resource.type === 'teamLimit') {
		return state.waitingByTeam.get(resource.team) ?? 0;
	}

	const pool = state.minions.get(resource.minion)?.pool;
	return pool === undefined ? 0 : state.waitingByPool.get(pool) ?? 0;
}

/** Lists all resources that this node knows, holds or uses. */
function listReportableResources(state: EscrowState): readonly ResourceWithHome[] {
	const {knownResources, holder} = state;
	const rest = [...holder.rights, ...holder.usage].filter(([key]) => !knownResources.has(key));
	return rest.length === 0
		? [...knownResources.values()]
		: [...knownResources.merge(rest.map(([key, {resource}]): [string, ResourceWithHome] => [key, createResourceWithHome(state, resource)])).values()];
}

function sendReport(state: EscrowState, home: NodeId, {cfg, nowMs}: Context): EscrowStep {
	const written = createReport(state.holder, {
		home,
		epoch: state.home.epoch,
		resources: listReportableResources(state).filter(entry => entry.home === home),
		getWaiting: resource => getWaiting(state, resource),
		isLeaving: state.isLeaving,
		cfg,
		nowMs,
	});
	const next = {...state, holder: written.state, lastReportAtMsByHome: state.lastReportAtMsByHome.set(home, nowMs)};
	return sendMessage(next, {to: home, message: written.report}, {cfg, nowMs});
}

function sendMessage(state: EscrowState, {to, message}: {readonly to: NodeId; readonly message: EscrowMessage}, context: Context): EscrowStep {
	return to === context.cfg.self
		? receiveMessage(state, {from: to, message}, context)
		: {state, effects: [{type: 'peer/send', to, message}]};
}

function chainSteps<Item>(start: EscrowStep, items: Iterable<Item>, perform: (state: EscrowState, item: Item) => EscrowStep): EscrowStep {
	let step = start;
	for (const item of items) {
		const next = perform(step.state, item);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}

	return step;
}

/** Asks holders to report, since rights can be revoked or granted only in the answer to a report. */
function requestReports(state: EscrowState, context: Context): EscrowStep {
	if (!canLend(state.home, context)) {
		return {state, effects: []};
	}

	const {epoch} = state.home;
	const holders = listHoldersToPoll(state.home, context)
		.filter(holder => context.nowMs - (state.lastReportRequestAtMsByHolder.get(holder) ?? Number.NEGATIVE_INFINITY) >= minimumReportRequestIntervalMs);
	return chainSteps({state, effects: []}, holders, (current, to) => sendMessage(
		{...current, lastReportRequestAtMsByHolder: current.lastReportRequestAtMsByHolder.set(to, context.nowMs)},
		{to, message: {type: 'escrow/reportNow', epoch}},
		context,
	));
}

function receiveReport(state: EscrowState, {from, message}: {readonly from: NodeId; readonly message: EscrowMessage & {type: 'escrow/report'}}, context: Context): EscrowStep {
	const entered = recordReport(state.home, {from, report: message}, context);
	if (entered === undefined) {
		return {state, effects: []};
	}

	if (!canLend(entered, context)) {
		return {state: {...state, home: entered}, effects: []};
	}

	const {state: home, items} = answerReport(entered, from, context);
	const answered = sendMessage({...state, home}, {
		to: from,
		message: {
			type: 'escrow/grant', epoch: home.epoch, reportId: message.reportId, items,
		},
	}, context);
	// Most reports only renew leases. If a report changes nothing, there are no holders to poll.
	const isRenewal = items.length === 0 && hasSameItems(state.home, entered, from)
		&& message.items.every(({wanted, held}) => wanted <= held);
	const requested = isRenewal ? {state: answered.state, effects: []} : requestReports(answered.state, context);
	return {state: requested.state, effects: [...answered.effects, ...requested.effects]};
}

function isAnyRightReduced(before: HolderState, after: HolderState, nowMs: MonotonicMs): boolean {
	return [...after.rights.keys()].some(key => getHeldAmount(after, key, nowMs) < getHeldAmount(before, key, nowMs));
}

function receiveGrant(state: EscrowState, {from, message}: {readonly from: NodeId; readonly message: EscrowMessage & {type: 'escrow/grant'}}, context: Context): EscrowStep {
	const holder = applyGrant(state.holder, {
		from, message, epoch: state.home.epoch, leaseMs: context.cfg.timings.leaseMs,
	});
	// A revocation is confirmed at the next tick. A job that starts before the jobs part receives the new
	// rights, while the node still handles the same event, is then included in the report.
	const lastReportAtMsByHome = isAnyRightReduced(state.holder, holder, context.nowMs) ? state.lastReportAtMsByHome.delete(from) : state.lastReportAtMsByHome;
	return {state: {...state, holder, lastReportAtMsByHome}, effects: []};
}

function receiveMessage(state: EscrowState, {from, message}: {readonly from: NodeId; readonly message: EscrowMessage}, context: Context): EscrowStep {
	switch (message.type) {
		case 'escrow/report': {
			return receiveReport(state, {from, message}, context);
		}

		case 'escrow/grant': {
			return receiveGrant(state, {from, message}, context);
		}

		case 'escrow/limitReport': {
			return {state: {...state, limitReports: recordLimitReports(state.limitReports, message.reports)}, effects: []};
		}

		case 'escrow/reportNow': {
			return message.epoch === state.home.epoch ? sendReport(state, from, context) : {state, effects: []};
		}
	}
}

/** Lists the homes to report to: all members, since a home needs an empty report as well, to know that this node holds nothing. */
function listHomes(state: EscrowState): readonly NodeId[] {
	return state.home.members;
}

function sendReportToAllHomes(state: EscrowState, context: Context): EscrowStep {
	return chainSteps({state, effects: []}, listHomes(state), (current, home) => sendReport(current, home, context));
}

function hasUnmetDemand(state: EscrowState, home: NodeId, nowMs: MonotonicMs): boolean {
	return [...state.knownResources.values()].some(entry => {
		const running = state.holder.usage.get(entry.key)?.running ?? 0;
		return entry.home === home && running + getWaiting(state, entry.resource) > getHeldAmount(state.holder, entry.key, nowMs);
	});
}

function hasElapsedSinceReport(state: EscrowState, home: NodeId, {nowMs}: Context, durationMs: number): boolean {
	return nowMs - (state.lastReportAtMsByHome.get(home) ?? Number.NEGATIVE_INFINITY) >= durationMs;
}

function reportUnmetDemand(state: EscrowState, context: Context): EscrowStep {
	const homes = listHomes(state).filter(home => hasElapsedSinceReport(state, home, context, minimumReportIntervalMs) && hasUnmetDemand(state, home, context.nowMs));
	return chainSteps({state, effects: []}, homes, (current, home) => sendReport(current, home, context));
}

/** Polls holders periodically, for changes caused by time alone: expired leases, or an epoch that was settled. */
function pollHolders(state: EscrowState, context: Context): EscrowStep {
	return context.nowMs - state.lastHolderPollAtMs < holderPollPeriodMs
		? {state, effects: []}
		: requestReports({...state, lastHolderPollAtMs: context.nowMs}, context);
}

function sendLimitReport(state: EscrowState, context: Context): EscrowStep {
	const {state: limitReports, message} = createLimitReport(state.limitReports, {
		home: state.home, bounds: state.teamBounds.values(), ...context,
	});
	const {leader} = limitReports;
	return message === undefined || leader === undefined
		? {state, effects: []}
		: sendMessage({...state, limitReports}, {to: leader, message}, context);
}

function handleTick(state: EscrowState, context: Context): EscrowStep {
	const {nowMs} = context;
	const ticked = {
		...state, home: expireLoans(state.home, context), holder: dropExpiredRights(state.holder, nowMs),
	};
	const due = listHomes(ticked).filter(home => hasElapsedSinceReport(ticked, home, context, context.cfg.timings.reportPeriodMs));
	const reported = chainSteps({state: ticked, effects: []}, due, (current, home) => sendReport(current, home, context));
	const wanted = reportUnmetDemand(reported.state, context);
	const polled = pollHolders(wanted.state, context);
	const limitReported = sendLimitReport(polled.state, context);
	return {state: limitReported.state, effects: [...reported.effects, ...wanted.effects, ...polled.effects, ...limitReported.effects]};
}

function setDemand(state: EscrowState, demands: readonly EscrowDemand[]): EscrowState {
	let {waitingByPool, waitingByTeam} = state;
	for (const demand of demands) {
		if (demand.type === 'pool') {
			waitingByPool = waitingByPool.set(demand.pool, demand.waiting);
		} else {
			waitingByTeam = waitingByTeam.set(demand.team, demand.waiting);
		}
	}

	return {...state, waitingByPool, waitingByTeam};
}

function hasSameBounds({teamBounds}: EscrowState, bounds: readonly TeamBound[]): boolean {
	return bounds.length === teamBounds.size && bounds.every(({team, amount, version, isRecalled}) => {
		const known = teamBounds.get(team);
		return known?.amount === amount && known.version === version && known.isRecalled === isRecalled;
	});
}

function setTeamBounds(state: EscrowState, bounds: readonly TeamBound[], cfg: EscrowConfig): EscrowState {
	const teamBounds = createMap(bounds.map((bound): [TeamId, TeamBound] => [bound.team, bound]));
	return updateLentResources({...state, teamBounds}, cfg);
}

function updateMinions(state: EscrowState, minions: readonly KnownMinion[]): EscrowState {
	const sources = minions.map(({minion, incarnation, pool, slots, condition}): [MinionId, SlotSource] => [minion, {
		minion, incarnation, pool, slots: condition === 'leaving' ? 0 : slots,
	}]);
	return {...state, minions: state.minions.merge(sources)};
}

function updateConfigurationLease(state: EscrowState, isFresh: boolean, nowMs: MonotonicMs): EscrowState {
	const wasFresh = state.home.isConfigurationFresh;
	const configurationFreshAtMs = isFresh || wasFresh ? nowMs : state.home.configurationFreshAtMs;
	return {...state, home: {...state.home, isConfigurationFresh: isFresh, configurationFreshAtMs}};
}

function updateLeftNodes(state: EscrowState, {view}: EscrowEvent & {type: 'membership/changed'}): EscrowState {
	const leftNodes = view.members.filter(({health}) => health === 'left').map(({node}) => node);
	return {...state, home: {...state.home, leftNodes}};
}

function reduce(state: EscrowState, event: EscrowEvent, context: Context): EscrowStep {
	const {cfg, nowMs} = context;
	switch (event.type) {
		case 'escrow/tick': {
			return handleTick(state, context);
		}

		case 'escrow/viewChanged': {
			const home = beginEpoch(state.home, {...event.view, nowMs});
			return home === state.home ? {state, effects: []} : sendReportToAllHomes(updateLentResources({...state, home}, cfg), context);
		}

		case 'escrow/configurationLease': {
			return reportUnmetDemand(updateConfigurationLease(state, event.isFresh, nowMs), context);
		}

		case 'escrow/teamBoundsChanged': {
			return hasSameBounds(state, event.bounds) ? {state, effects: []} : sendReportToAllHomes(setTeamBounds(state, event.bounds, cfg), context);
		}

		case 'minions/changed': {
			return sendReportToAllHomes(updateLentResources(updateMinions(state, event.minions), cfg), context);
		}

		case 'escrow/leaderChanged': {
			return {state: {...state, limitReports: setLeader(state.limitReports, event.leader)}, effects: []};
		}

		case 'escrow/demand': {
			return reportUnmetDemand(setDemand(state, event.demands), context);
		}

		case 'escrow/usage': {
			return {state: {...state, holder: setUsage(state.holder, event.usage)}, effects: []};
		}

		case 'escrow/holderUsage': {
			return {state: {...state, home: recordHolderUsage(state.home, event, context)}, effects: []};
		}

		case 'escrow/leave': {
			const holder = {...state.holder, rights: createMap<string, never>()};
			return sendReportToAllHomes({...state, holder, isLeaving: true}, context);
		}

		case 'membership/changed': {
			return {state: updateLeftNodes(state, event), effects: []};
		}

		case 'peer/received': {
			return receiveMessage(state, event, context);
		}
	}
}

function getRight(state: EscrowState, key: string, nowMs: MonotonicMs): HeldRight | undefined {
	const right = state.holder.rights.get(key) ?? state.publishedRights.get(key);
	return right === undefined || state.isLeaving ? undefined : {resource: right.resource, amount: getHeldAmount(state.holder, key, nowMs)};
}

/** Publishes the rights that differ from the last published ones. */
function publishRights({state, effects}: EscrowStep, nowMs: MonotonicMs): EscrowStep {
	const keys = new Set([...state.holder.rights.keys(), ...state.publishedRights.keys()]);
	const changed = [...keys].flatMap(key => {
		const published = state.publishedRights.get(key);
		const right = getRight(state, key, nowMs) ?? (published && {...published, amount: 0});
		return right === undefined || right.amount === (published?.amount ?? 0) ? [] : [{key, right}];
	});
	if (changed.length === 0) {
		return {state, effects};
	}

	const publishedRights = state.publishedRights.withMutations(entries => {
		for (const {key, right} of changed) {
			if (right.amount === 0) {
				entries.delete(key);
			} else {
				entries.set(key, right);
			}
		}
	});
	return {state: {...state, publishedRights}, effects: [...effects, {type: 'escrow/held', rights: changed.map(({right}) => right)}]};
}

/**
 * Applies an event to the escrow state.
 *
 * @param event - The event. `escrow/tick` is expected about every 100 ms.
 * @returns The new state, and the effects: messages to send and changed rights of this node.
 */
export function reduceEscrow(state: EscrowState, event: EscrowEvent, cfg: EscrowConfig): EscrowStep {
	const step = reduce(state, event, {cfg, nowMs: event.nowMs});
	return step.state.holder.rights === state.holder.rights ? step : publishRights(step, event.nowMs);
}

/** Lists all rights that this node holds, as last published by `escrow/held`. */
export function listHeldRights(state: EscrowState): readonly HeldRight[] {
	return [...state.publishedRights.values()];
}

/**
 * Lists the reports of homes on team limits, for `planTeamLimitGrants`.
 *
 * @param state - The escrow state of the leader.
 */
export function listTeamLimitReports(state: EscrowState): readonly TeamLimitReport[] {
	return [...state.limitReports.received.values()];
}
