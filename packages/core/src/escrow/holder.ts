/**
 * The holder side of escrow: the rights that this node may use, and its reports to homes.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import {getResourceKey} from './resources.js';
import type {
	EscrowConfig, EscrowMessage, EscrowResource, EscrowUsage, HeldRight, ReportItem,
} from './types.js';

/** A right with the expiry time of its lease on this node's clock. */
export type LeasedRight = HeldRight & {
	readonly leaseExpiresAtMs: MonotonicMs;
};

type PendingReport = {
	readonly home: NodeId;
	readonly epoch: number;
	readonly reportId: number;
	readonly sentAtMs: MonotonicMs;
	/** The rights that this node held according to the report, by resource key. */
	readonly held: ReadonlyArray<readonly [string, HeldRight]>;
};

/** The rights that this node holds, and their use. */
export type HolderState = {
	readonly nextReportId: number;
	/** Reports whose answer may still arrive. */
	readonly pendingReports: readonly PendingReport[];
	/** The id of the latest report that each home has answered. */
	readonly lastAnsweredReportIds: ImmutableMap<NodeId, number>;
	readonly rights: ImmutableMap<string, LeasedRight>;
	readonly usage: ImmutableMap<string, EscrowUsage>;
};

type ResourceWithKey = {readonly key: string; readonly resource: EscrowResource};
type Report = EscrowMessage & {type: 'escrow/report'};
type Grant = EscrowMessage & {type: 'escrow/grant'};

/** Creates a holder without rights. */
export function createHolderState(): HolderState {
	return {
		nextReportId: 1,
		pendingReports: [],
		lastAnsweredReportIds: createMap(),
		rights: createMap(),
		usage: createMap(),
	};
}

/** Returns the number of units of a resource that this node may use. 0 if the lease has expired. */
export function getHeldAmount(state: HolderState, key: string, nowMs: MonotonicMs): number {
	const right = state.rights.get(key);
	return right !== undefined && nowMs < right.leaseExpiresAtMs ? right.amount : 0;
}

/**
 * Updates the usage of this node's jobs.
 *
 * @param usage - The new usage of the resources whose usage changed.
 */
export function setUsage(state: HolderState, usage: readonly EscrowUsage[]): HolderState {
	const next = state.usage.withMutations(entries => {
		for (const entry of usage) {
			const key = getResourceKey(entry.resource);
			if (entry.running === 0) {
				entries.delete(key);
			} else {
				entries.set(key, entry);
			}
		}
	});
	return {...state, usage: next};
}

function createItem(state: HolderState, {key, resource}: ResourceWithKey, {waiting, nowMs}: {readonly waiting: number; readonly nowMs: MonotonicMs}): ReportItem {
	const running = state.usage.get(key)?.running ?? 0;
	return {
		resource, held: getHeldAmount(state, key, nowMs), running, wanted: running + waiting,
	};
}

/**
 * Creates the report to one home. It lists all resources of that home that this node holds, uses or wants.
 *
 * @param options.epoch - The epoch of the view.
 * @param options.resources - The resources whose home it is.
 * @param options.getWaiting - Returns the number of jobs that wait for a resource.
 * @returns The holder, which now expects an answer, and the report.
 */
export function createReport(state: HolderState, options: {
	readonly home: NodeId;
	readonly epoch: number;
	readonly resources: readonly ResourceWithKey[];
	readonly getWaiting: (resource: EscrowResource) => number;
	readonly isLeaving: boolean;
	readonly cfg: EscrowConfig;
	readonly nowMs: MonotonicMs;
}): {readonly state: HolderState; readonly report: Report} {
	const {home, epoch, cfg, nowMs} = options;
	const reportId = state.nextReportId;
	const entries = options.resources
		.map(entry => ({key: entry.key, item: createItem(state, entry, {waiting: options.getWaiting(entry.resource), nowMs})}))
		.filter(({item: {held, running, wanted}}) => held > 0 || running > 0 || wanted > 0);
	const held = entries
		.filter(({item}) => item.held > 0)
		.map(({key, item}): [string, HeldRight] => [key, {resource: item.resource, amount: item.held}]);
	const report: Report = {
		type: 'escrow/report',
		epoch,
		incarnation: cfg.incarnation,
		reportId,
		answeredReportId: state.lastAnsweredReportIds.get(home) ?? 0,
		earlierTasksMs: cfg.earlierTasksMs,
		isLeaving: options.isLeaving,
		items: entries.map(({item}) => item),
	};
	const unexpiredReports = state.pendingReports.filter(({sentAtMs}) => nowMs - sentAtMs < cfg.timings.leaseMs);
	return {
		state: {
			...state,
			nextReportId: reportId + 1,
			pendingReports: [...unexpiredReports, {
				home, epoch, reportId, sentAtMs: nowMs, held,
			}],
		},
		report,
	};
}

/**
 * Applies a home's answer. The lease of each right starts when the answered report was sent, so that it
 * expires at this node before the home regards it as expired. Answers that are late, repeated or of another
 * epoch are ignored.
 */
export function applyGrant(state: HolderState, {from, message, epoch, leaseMs}: {
	readonly from: NodeId;
	readonly message: Grant;
	readonly epoch: number;
	readonly leaseMs: number;
}): HolderState {
	const sent = state.pendingReports.find(({home, reportId}) => home === from && reportId === message.reportId);
	const isNewest = message.reportId > (state.lastAnsweredReportIds.get(from) ?? 0);
	if (sent === undefined || !isNewest || sent.epoch !== epoch || message.epoch !== epoch) {
		return state;
	}

	const leaseExpiresAtMs = toBrand<MonotonicMs>(sent.sentAtMs + leaseMs);
	const kept = sent.held.map(([key, right]): [string, LeasedRight] => [key, {...right, leaseExpiresAtMs}]);
	const granted = message.items.map((item): [string, LeasedRight] => [getResourceKey(item.resource), {...item, leaseExpiresAtMs}]);
	return {
		...state,
		lastAnsweredReportIds: state.lastAnsweredReportIds.set(from, message.reportId),
		pendingReports: state.pendingReports.filter(report => report !== sent),
		rights: state.rights.merge(kept, granted),
	};
}

/** Removes rights whose lease has expired. */
export function dropExpiredRights(state: HolderState, nowMs: MonotonicMs): HolderState {
	return state.rights.some(({leaseExpiresAtMs}) => nowMs >= leaseExpiresAtMs)
		? {...state, rights: state.rights.filter(({leaseExpiresAtMs}) => nowMs < leaseExpiresAtMs)}
		: state;
}
