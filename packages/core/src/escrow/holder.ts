/**
 * The side of escrow that uses rights: what this node may have in use, and its reports to homes.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import {getResourceKey} from './resources.js';
import type {
	EscrowConfig, EscrowMessage, EscrowResource, EscrowUsage, HeldRight, ReportItem,
} from './types.js';

/** A right with the end of its lease on this node's clock. */
export type LeasedRight = HeldRight & {
	readonly leaseExpiresAtMs: MonotonicMs;
};

type PendingReport = {
	readonly home: NodeId;
	readonly epoch: number;
	readonly reportId: number;
	readonly sentAtMs: MonotonicMs;
	/** What the report said that this node holds. */
	readonly held: ReadonlyArray<readonly [string, HeldRight]>;
};

/** What this node holds and has in use. */
export type HolderState = {
	readonly nextReportId: number;
	/** Reports whose answer may still come. */
	readonly pendingReports: readonly PendingReport[];
	/** The newest answered report of each home. */
	readonly lastAnsweredReportIds: ImmutableMap<NodeId, number>;
	readonly rights: ImmutableMap<string, LeasedRight>;
	readonly usage: ImmutableMap<string, EscrowUsage>;
};

type ResourceWithKey = {readonly key: string; readonly resource: EscrowResource};
type Report = EscrowMessage & {type: 'escrow/report'};
type Grant = EscrowMessage & {type: 'escrow/grant'};

/** @returns A holder of nothing. */
export function createHolderState(): HolderState {
	return {
		nextReportId: 1,
		pendingReports: [],
		lastAnsweredReportIds: createMap(),
		rights: createMap(),
		usage: createMap(),
	};
}

/**
 * @param state - The holder.
 * @param key - The resource's key.
 * @param nowMs - The time.
 * @returns How many units this node may have in use now; 0 once the lease has run out.
 */
export function getHeldAmount(state: HolderState, key: string, nowMs: MonotonicMs): number {
	const right = state.rights.get(key);
	return right !== undefined && nowMs < right.leaseExpiresAtMs ? right.amount : 0;
}

/**
 * @param state - The holder.
 * @param usage - What the jobs of this node have in use now, of the resources that changed.
 * @returns The holder.
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
 * Writes the report to one home. It names everything that this node holds, uses or wants of it.
 *
 * @param state - The holder.
 * @param options - The home, the epoch of the view, the resources that it is the home of, how much
 * work waits for each, whether this node stops, its configuration and the time.
 * @returns The holder that awaits the answer, and the report.
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
 * Takes up an answer. Each right's lease counts from when the answered report was sent, so that it
 * ends here before its home takes it to have ended.
 *
 * @param state - The holder.
 * @param received - The home, its answer, the epoch of the view and the lease.
 * @returns The holder; unchanged where the answer is late, repeated or of another epoch.
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

	const leaseUntilMs = toBrand<MonotonicMs>(sent.sentAtMs + leaseMs);
	const kept = sent.held.map(([key, right]): [string, LeasedRight] => [key, {...right, leaseExpiresAtMs: leaseUntilMs}]);
	const granted = message.items.map((item): [string, LeasedRight] => [getResourceKey(item.resource), {...item, leaseExpiresAtMs: leaseUntilMs}]);
	return {
		...state,
		lastAnsweredReportIds: state.lastAnsweredReportIds.set(from, message.reportId),
		pendingReports: state.pendingReports.filter(report => report !== sent),
		rights: state.rights.merge(kept, granted),
	};
}

/**
 * Forgets rights that neither allow anything nor have anything in use.
 *
 * @param state - The holder.
 * @param nowMs - The time.
 * @returns The holder.
 */
export function dropExpiredRights(state: HolderState, nowMs: MonotonicMs): HolderState {
	return state.rights.some(({leaseExpiresAtMs: leaseUntilMs}) => nowMs >= leaseUntilMs)
		? {...state, rights: state.rights.filter(({leaseExpiresAtMs: leaseUntilMs}) => nowMs < leaseUntilMs)}
		: state;
}
