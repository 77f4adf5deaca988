/**
 * Reports of the homes of team limits to the leader, which divides the limits between data centres.
 */
import {
	toBrand, type MonotonicMs, type NodeId, type TeamId,
} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import {minimumLimitReportIntervalMs, fullLimitReportPeriodMs} from './constants.js';
import {
	getTotalCharge, getTotalWanted, canLend, type HomeState,
} from './home.js';
import {getResourceKey} from './resources.js';
import type {TeamLimitReport} from './team-grants/types.js';
import type {EscrowConfig, EscrowMessage, TeamBound} from './types.js';

/** Reports sent to the leader and, on the leader, reports received. */
export type LimitReportsState = {
	readonly leader: NodeId | undefined;
	readonly lastSentAtMs: MonotonicMs;
	readonly lastFullReportAtMs: MonotonicMs;
	/** The fingerprint of the last report sent on each team. */
	readonly sentFingerprints: ImmutableMap<TeamId, string>;
	/** The latest report on each team and data centre. */
	readonly received: ImmutableMap<string, TeamLimitReport>;
};

type Context = {readonly cfg: EscrowConfig; readonly nowMs: MonotonicMs};

const neverMs = toBrand<MonotonicMs>(Number.NEGATIVE_INFINITY);

/** Creates the state before a leader is known. */
export function createLimitReportsState(): LimitReportsState {
	return {
		leader: undefined, lastSentAtMs: neverMs, lastFullReportAtMs: neverMs, sentFingerprints: createMap(), received: createMap(),
	};
}

/** Sets the leader. Discards all reports if it is a new leader, since it has not received any. */
export function setLeader(state: LimitReportsState, leader: NodeId | undefined): LimitReportsState {
	return leader === state.leader ? state : {...createLimitReportsState(), leader};
}

function createTeamReport(home: HomeState, bound: TeamBound, {cfg, nowMs}: Context): TeamLimitReport | undefined {
	const key = getResourceKey({type: 'teamLimit', team: bound.team});
	const lent = home.resources.get(key);
	// If the ledger is incomplete, the charged amount is unknown.
	return lent?.isLedgerComplete === true
		? {
			team: bound.team,
			dataCentre: cfg.dataCentre,
			viewEpoch: home.epoch,
			version: bound.version,
			wanted: getTotalWanted(home, key, {cfg, nowMs}),
			charged: getTotalCharge(home, key),
		}
		: undefined;
}

/** Returns a string that changes if the report must be sent again. Small changes of demand do not affect grants and are not reported. */
function getReportFingerprint({version, viewEpoch, wanted, charged}: TeamLimitReport, {isRecalled}: TeamBound): string {
	const wantedBucket = wanted === 0 ? 0 : 2 ** Math.ceil(Math.log2(wanted));
	return [version, viewEpoch, wantedBucket, isRecalled ? charged : ''].join(' ');
}

/**
 * Creates the report to the leader, if one is due.
 *
 * @param options.bounds - The bounds of teams in this node's data centre.
 * @returns The state, and the message or `undefined` if nothing is due.
 */
export function createLimitReport(state: LimitReportsState, {home, bounds, cfg, nowMs}: Context & {
	readonly home: HomeState;
	readonly bounds: Iterable<TeamBound>;
}): {readonly state: LimitReportsState; readonly message: EscrowMessage | undefined} {
	if (state.leader === undefined || nowMs - state.lastSentAtMs < minimumLimitReportIntervalMs || !canLend(home, {cfg, nowMs})) {
		return {state, message: undefined};
	}

	const isFull = nowMs - state.lastFullReportAtMs >= fullLimitReportPeriodMs;
	const candidates = [...bounds].flatMap(bound => {
		const report = createTeamReport(home, bound, {cfg, nowMs});
		return report === undefined ? [] : [{report, fingerprint: getReportFingerprint(report, bound)}];
	});
	const due = candidates.filter(({report, fingerprint}) => isFull || state.sentFingerprints.get(report.team) !== fingerprint);
	if (due.length === 0) {
		return {state, message: undefined};
	}

	const sentFingerprints = state.sentFingerprints.merge(due.map(({report, fingerprint}): [TeamId, string] => [report.team, fingerprint]));
	return {
		state: {
			...state, sentFingerprints, lastSentAtMs: nowMs, lastFullReportAtMs: isFull ? nowMs : state.lastFullReportAtMs,
		},
		message: {type: 'escrow/limitReport', reports: due.map(({report}) => report)},
	};
}

/** Records the reports of a home. Reports that are older than the recorded ones by view epoch or version are ignored. */
export function recordLimitReports(state: LimitReportsState, reports: readonly TeamLimitReport[]): LimitReportsState {
	const entries = reports
		.map((report): [string, TeamLimitReport] => [`${report.dataCentre} ${report.team}`, report])
		.filter(([key, {viewEpoch, version}]) => {
			const known = state.received.get(key);
			return known === undefined || viewEpoch > known.viewEpoch || (viewEpoch === known.viewEpoch && version >= known.version);
		});
	return {...state, received: state.received.merge(entries)};
}
