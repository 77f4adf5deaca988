/**
 * The lending side of escrow: the ledger of a node that is the home of some resources.
 *
 * A holder is charged for everything that it may still use: what it reported, what unconfirmed answers
 * may have granted since, and, if it stopped reporting, what it held last, until its lease and the tasks
 * started under it have expired. A home that takes over resources from another one does not lend them until
 * every node of the data centre has reported to it, or all loans of earlier homes have expired.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import {computeTargets, type Claimant, type AllocationTarget} from './allocation.js';
import {maximumUnconfirmedGrants} from './constants.js';
import {getResourceKey, rankForResource} from './resources.js';
import type {
	EscrowConfig, EscrowMessage, EscrowResource, EscrowUsage, GrantItem, ReportItem,
} from './types.js';

type Report = EscrowMessage & {type: 'escrow/report'};

type UnconfirmedGrant = {
	readonly reportId: number;
	readonly amounts: ImmutableMap<string, number>;
};

/** The loans to one process of a node. */
export type HolderLedger = {
	readonly holder: NodeId;
	readonly incarnation: number;
	readonly epoch: number;
	readonly reportId: number;
	readonly lastReportAtMs: MonotonicMs;
	/** The time from which no job of an earlier process of the node can be running. */
	readonly earlierTasksEndAtMs: MonotonicMs;
	readonly isLeaving: boolean;
	readonly items: ImmutableMap<string, ReportItem>;
	/** Answers that the holder may have applied but has not confirmed. */
	readonly outstandingGrants: readonly UnconfirmedGrant[];
};

/** A resource that this node is the home of. */
export type LentResource = {
	readonly resource: EscrowResource;
	readonly bound: number;
	/** Whether all loans of the resource are in the ledger. */
	readonly isLedgerComplete: boolean;
	/** The members of the view in the order in which remainders are distributed. */
	readonly ranked: readonly NodeId[];
};

/** The ledger of one home. */
export type HomeState = {
	readonly epoch: number;
	readonly members: readonly NodeId[];
	readonly epochStartedAtMs: MonotonicMs;
	/**
	 * The time since which the nodes that have not reported are fewer than a majority. Their reports alone do
	 * not allow an earlier home to lend.
	 */
	readonly majorityReportedAtMs: MonotonicMs | undefined;
	readonly isEpochSettled: boolean;
	readonly isConfigurationFresh: boolean;
	readonly configurationFreshAtMs: MonotonicMs;
	readonly ledgers: ImmutableMap<NodeId, HolderLedger>;
	/** The ledgers of processes that were replaced by a newer one of the same node. */
	readonly earlierLedgers: readonly HolderLedger[];
	readonly resources: ImmutableMap<string, LentResource>;
	/** Nodes that returned all rights before they stopped. */
	readonly leftNodes: readonly NodeId[];
};

type Context = {readonly cfg: EscrowConfig; readonly nowMs: MonotonicMs};

/**
 * Creates a home without resources, before any view is known.
 *
 * @param nowMs - The time of the process start.
 */
export function createHomeState(nowMs: MonotonicMs): HomeState {
	return {
		epoch: 0,
		members: [],
		epochStartedAtMs: nowMs,
		majorityReportedAtMs: undefined,
		isEpochSettled: false,
		isConfigurationFresh: false,
		configurationFreshAtMs: toBrand<MonotonicMs>(Number.NEGATIVE_INFINITY),
		ledgers: createMap(),
		earlierLedgers: [],
		resources: createMap(),
		leftNodes: [],
	};
}

function getMajority(count: number): number {
	return Math.floor(count / 2) + 1;
}

function hasReported(state: HomeState, node: NodeId, nowMs: MonotonicMs): boolean {
	const ledger = state.ledgers.get(node);
	return ledger?.epoch === state.epoch && nowMs >= ledger.earlierTasksEndAtMs;
}

function hasElapsed({cfg, nowMs}: Context, sinceMs: MonotonicMs, durationMs: number): boolean {
	return nowMs - sinceMs >= durationMs * cfg.timings.maximumClockRatio;
}

/**
 * Returns the time after which loans of earlier homes have expired: an earlier home may lend for one lease,
 * its last loan is valid for another lease, and tasks may run for `taskLeaseMs` after that.
 */
function getMaximumLoanDurationMs({timings}: EscrowConfig): number {
	return Math.max(timings.configurationLeaseMs, timings.leaseMs) + timings.leaseMs + timings.taskLeaseMs;
}

function areEarlierLoansExpired(state: HomeState, context: Context): boolean {
	const {majorityReportedAtMs, epochStartedAtMs} = state;
	const endMs = getMaximumLoanDurationMs(context.cfg);
	if (majorityReportedAtMs !== undefined && hasElapsed(context, majorityReportedAtMs, endMs)) {
		return true;
	}

	return hasElapsed(context, epochStartedAtMs, endMs + context.cfg.timings.isolationMs);
}

/** Marks the epoch as settled once no loan of an earlier home can be in use without being in the ledger. */
function settleEpoch(state: HomeState, context: Context): HomeState {
	if (state.isEpochSettled) {
		return state;
	}

	const {localNodes} = context.cfg;
	const missing = localNodes.filter(node => !hasReported(state, node, context.nowMs) && !state.leftNodes.includes(node));
	const isMajority = missing.length < getMajority(localNodes.length);
	const majorityReportedAtMs = isMajority ? state.majorityReportedAtMs ?? context.nowMs : undefined;
	const next = {...state, majorityReportedAtMs};
	if (missing.length > 0 && !areEarlierLoansExpired(next, context)) {
		return next;
	}

	return {...next, isEpochSettled: true, resources: next.resources.map(entry => ({...entry, isLedgerComplete: true}))};
}

/**
 * Returns whether this node may lend in its epoch. It may if its view is known to be the latest, or if a
 * majority of the data centre's nodes reports to it, and so not to a newer home.
 */
export function canLend(state: HomeState, {cfg, nowMs}: Context): boolean {
	if (state.epoch === 0) {
		return false;
	}

	if (state.isConfigurationFresh || cfg.localNodes.length === 1) {
		return true;
	}

	const reporting = [...state.ledgers.values()].filter(ledger => isLedgerCurrent(state, ledger, {cfg, nowMs}));
	return reporting.length >= getMajority(cfg.localNodes.length)
		&& nowMs - state.configurationFreshAtMs < cfg.timings.isolationMs;
}

function isLedgerCurrent({epoch}: HomeState, ledger: HolderLedger, {cfg, nowMs}: Context): boolean {
	return ledger.epoch === epoch && nowMs - ledger.lastReportAtMs < cfg.timings.leaseMs;
}

/**
 * Begins a new epoch. Does nothing if the view is not newer. The ledger stays complete for resources that
 * keep this home. For resources that move to this home it is incomplete until the epoch is settled.
 */
export function beginEpoch(state: HomeState, {epoch, members, nowMs}: {
	readonly epoch: number;
	readonly members: readonly NodeId[];
	readonly nowMs: MonotonicMs;
}): HomeState {
	if (epoch <= state.epoch) {
		return state;
	}

	// If this node skipped an epoch, another node may have been the home in that epoch.
	const resources = epoch === state.epoch + 1 ? state.resources : createMap<string, LentResource>();
	return {
		...state, epoch, members, resources, epochStartedAtMs: nowMs, majorityReportedAtMs: undefined, isEpochSettled: false,
	};
}

/**
 * Sets the resources that this home lends. Resources that are new to it are lent only once the epoch is
 * settled.
 *
 * @param resources - All resources whose home is this node, with their bounds.
 */
export function setLentResources(state: HomeState, resources: ReadonlyArray<Pick<LentResource, 'resource' | 'bound'>>): HomeState {
	return {
		...state,
		resources: createMap(resources.map((entry): [string, LentResource] => {
			const key = getResourceKey(entry.resource);
			const isLedgerComplete = state.isEpochSettled || state.resources.get(key)?.isLedgerComplete === true;
			return [key, {...entry, isLedgerComplete, ranked: rankForResource(entry.resource, state.members)}];
		})),
	};
}

function getCharge(ledger: HolderLedger, key: string): number {
	const item = ledger.items.get(key);
	return Math.max(item?.held ?? 0, item?.running ?? 0, ...ledger.outstandingGrants.map(({amounts}) => amounts.get(key) ?? 0));
}

function listLedgers(state: HomeState): readonly HolderLedger[] {
	return [...state.ledgers.values(), ...state.earlierLedgers];
}

/** Returns the number of units of a resource that may be in use at all holders together, according to the ledger. */
export function getTotalCharge(state: HomeState, key: string): number {
	let total = 0;
	for (const ledger of listLedgers(state)) {
		total += getCharge(ledger, key);
	}

	return total;
}

/** Returns the number of units of a resource that the jobs of all holders use or wait for. */
export function getTotalWanted(state: HomeState, key: string, context: Context): number {
	let total = 0;
	for (const {wanted} of listClaimants(state, key, context)) {
		total += wanted;
	}

	return total;
}

function isLoanExpired(ledger: HolderLedger, context: Context): boolean {
	const {leaseMs, taskLeaseMs} = context.cfg.timings;
	return hasElapsed(context, ledger.lastReportAtMs, leaseMs + taskLeaseMs);
}

/** Removes expired loans, and settles the epoch if possible. */
export function expireLoans(state: HomeState, context: Context): HomeState {
	return settleEpoch({
		...state,
		ledgers: state.ledgers.filter(ledger => !isLoanExpired(ledger, context)),
		earlierLedgers: state.earlierLedgers.filter(ledger => !isLoanExpired(ledger, context)),
	}, context);
}

function createLedger(from: NodeId, report: Report, nowMs: MonotonicMs): HolderLedger {
	return {
		holder: from,
		incarnation: report.incarnation,
		epoch: report.epoch,
		reportId: report.reportId,
		lastReportAtMs: nowMs,
		earlierTasksEndAtMs: toBrand<MonotonicMs>(nowMs + report.earlierTasksMs),
		isLeaving: report.isLeaving,
		items: createMap(report.items.map((item): [string, ReportItem] => [getResourceKey(item.resource), item])),
		outstandingGrants: [],
	};
}

/**
 * Records a report in the ledger.
 *
 * @returns The home, or `undefined` if the report is old, repeated or of another epoch.
 */
export function recordReport(state: HomeState, {from, report}: {readonly from: NodeId; readonly report: Report}, context: Context): HomeState | undefined {
	const known = state.ledgers.get(from);
	if (report.epoch !== state.epoch || (known !== undefined && known.incarnation > report.incarnation)) {
		return undefined;
	}

	const ledger = createLedger(from, report, context.nowMs);
	if (known === undefined || known.incarnation < report.incarnation) {
		return settleEpoch({
			...state,
			ledgers: state.ledgers.set(from, ledger),
			earlierLedgers: known === undefined ? state.earlierLedgers : [...state.earlierLedgers, known],
			leftNodes: state.leftNodes.filter(node => node !== from),
		}, context);
	}

	if (report.reportId <= known.reportId) {
		return undefined;
	}

	const outstandingGrants = known.outstandingGrants.filter(({reportId}) => reportId > report.answeredReportId);
	return settleEpoch({
		...state,
		ledgers: state.ledgers.set(from, {...ledger, earlierTasksEndAtMs: known.earlierTasksEndAtMs, outstandingGrants}),
	}, context);
}

/** Returns whether the items of a holder's report are the same before and after a new report. */
export function hasSameItems(before: HomeState, after: HomeState, holder: NodeId): boolean {
	const [old, items] = [before.ledgers.get(holder)?.items, after.ledgers.get(holder)?.items];
	return old?.size === items?.size && [...items ?? []].every(([key, {held, running, wanted}]) => {
		const other = old?.get(key);
		return other?.held === held && other.running === running && other.wanted === wanted;
	});
}

function listClaimants(state: HomeState, key: string, context: Context): ReadonlyArray<Claimant<NodeId>> {
	const members = state.resources.get(key)?.ranked ?? state.members;
	return members.flatMap(holder => {
		const ledger = state.ledgers.get(holder);
		return ledger !== undefined && !ledger.isLeaving && isLedgerCurrent(state, ledger, context)
			? [{holder, wanted: ledger.items.get(key)?.wanted ?? 0, charged: getCharge(ledger, key)}]
			: [];
	});
}

function isUnderAllocated({wanted, charged, amount}: AllocationTarget<NodeId>): boolean {
	return charged < amount && (wanted > charged || charged === 0);
}

/** Returns the amount that may be lent. Negative if the charges exceed the bound after it was lowered. */
function getUnchargedAmount(state: HomeState, key: string, {bound, isLedgerComplete}: LentResource): number {
	const free = bound - getTotalCharge(state, key);
	return isLedgerComplete ? free : Math.min(0, free);
}

function chooseAmount(state: HomeState, holder: NodeId, {key, lent, context}: {
	readonly key: string;
	readonly lent: LentResource;
	readonly context: Context;
}): number {
	const targets = computeTargets(listClaimants(state, key, context), lent.bound);
	const own = targets.find(target => target.holder === holder);
	const held = state.ledgers.get(holder)?.items.get(key)?.held ?? 0;
	if (own === undefined) {
		return 0;
	}

	const free = getUnchargedAmount(state, key, lent);
	if (own.amount > held) {
		return Math.max(0, Math.min(own.amount, own.charged + free));
	}

	const isRevoked = free < 0 || (free === 0 && targets.some(target => target.holder !== holder && isUnderAllocated(target)));
	return isRevoked ? own.amount : held;
}

function mergeOutstandingGrants(outstandingGrants: readonly UnconfirmedGrant[]): readonly UnconfirmedGrant[] {
	const [first, second, ...rest] = outstandingGrants;
	return outstandingGrants.length <= maximumUnconfirmedGrants || first === undefined || second === undefined
		? outstandingGrants
		: [{reportId: second.reportId, amounts: first.amounts.mergeWith((left, right) => Math.max(left, right), second.amounts)}, ...rest];
}

/**
 * Creates the answer to a recorded report, and charges the holder for it immediately.
 *
 * @returns The home, and the amounts that differ from what the holder reported to hold.
 */
export function answerReport(state: HomeState, holder: NodeId, context: Context): {readonly state: HomeState; readonly items: readonly GrantItem[]} {
	const ledger = state.ledgers.get(holder);
	if (ledger === undefined) {
		return {state, items: []};
	}

	const known = [...state.resources].map(([key, lent]) => ({
		key, resource: lent.resource, amount: chooseAmount(state, holder, {key, lent, context}),
	}));
	// A resource that this node does not know yet is not lent to other holders, so its reported amount can be confirmed.
	const unknown = [...ledger.items].filter(([key]) => !state.resources.has(key)).map(([key, {resource, held}]) => ({key, resource, amount: held}));
	const granted = [...known, ...unknown].filter(({key, amount}) => amount > 0 || ledger.items.has(key));
	const amounts = createMap(granted.map(({key, amount}): [string, number] => [key, amount]));
	const outstandingGrants = mergeOutstandingGrants([...ledger.outstandingGrants, {reportId: ledger.reportId, amounts}]);
	return {
		state: {...state, ledgers: state.ledgers.set(holder, {...ledger, outstandingGrants})},
		items: granted
			.filter(({key, amount}) => amount !== (ledger.items.get(key)?.held ?? 0))
			.map(({resource, amount}) => ({resource, amount})),
	};
}

/**
 * Lists the holders whose next report would change their rights: holders of units that others need, and
 * holders that can get more.
 */
export function listHoldersToPoll(state: HomeState, context: Context): readonly NodeId[] {
	const holdersToPoll = new Set<NodeId>();
	for (const [key, lent] of state.resources) {
		const targets = computeTargets(listClaimants(state, key, context), lent.bound);
		const free = getUnchargedAmount(state, key, lent);
		const isAnyUnderAllocated = targets.some(target => isUnderAllocated(target));
		for (const target of targets) {
			const isOverAllocated = target.charged > target.amount && (free < 0 || (free === 0 && isAnyUnderAllocated));
			if (isOverAllocated || (free > 0 && isUnderAllocated(target))) {
				holdersToPoll.add(target.holder);
			}
		}
	}

	return [...holdersToPoll];
}

/**
 * Charges a holder that has stopped reporting only for the jobs that its minions report as running. Does
 * nothing while the holder's lease has not expired, since it may still start jobs.
 */
export function recordHolderUsage(state: HomeState, {holder, usage}: {
	readonly holder: NodeId;
	readonly usage: readonly EscrowUsage[];
}, context: Context): HomeState {
	const update = (ledger: HolderLedger): HolderLedger => {
		if (ledger.holder !== holder || !hasElapsed(context, ledger.lastReportAtMs, context.cfg.timings.leaseMs)) {
			return ledger;
		}

		const items = usage.map(({resource, running}): [string, ReportItem] => [
			getResourceKey(resource),
			{
				resource, held: 0, running, wanted: running,
			},
		]);
		return {...ledger, items: ledger.items.merge(items), outstandingGrants: ledger.outstandingGrants.map(grant => ({...grant, amounts: grant.amounts.deleteAll(items.map(([key]) => key))}))};
	};

	return {...state, ledgers: state.ledgers.map(ledger => update(ledger)), earlierLedgers: state.earlierLedgers.map(ledger => update(ledger))};
}
