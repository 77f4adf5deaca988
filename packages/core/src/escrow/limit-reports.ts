/**
 * What the homes of team limits tell the leader, so that it can divide the limits between data
 * centres.
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

/** Reports sent to the leader, and, on the leader, those received. */
export type LimitReportsState = {
	readonly leader: NodeId | undefined;
	readonly lastSentAtMs: MonotonicMs;
	readonly lastFullReportAtMs: MonotonicMs;
	/** What was last sent of each team, as far as it matters to the leader. */
	readonly sentFingerprints: ImmutableMap<TeamId, string>;
	/** The newest report of each team and data centre. */
	readonly received: ImmutableMap<string, TeamLimitReport>;
};

type Context = {readonly cfg: EscrowConfig; readonly nowMs: MonotonicMs};

const neverMs = toBrand<MonotonicMs>(Number.NEGATIVE_INFINITY);

/** @returns The state before a leader is known. */
export function createLimitReportsState(): LimitReportsState {
	return {
		leader: undefined, lastSentAtMs: neverMs, lastFullReportAtMs: neverMs, sentFingerprints: createMap(), received: createMap(),
	};
}

/**
 * @param state - The reports.
 * @param leader - The new leader, who has heard nothing yet.
 * @returns The reports.
 */
export function setLeader(state: LimitReportsState, leader: NodeId | undefined): LimitReportsState {
	return leader === state.leader ? state : {...createLimitReportsState(), leader};
}

function createTeamReport(home: HomeState, bound: TeamBound, {cfg, nowMs}: Context): TeamLimitReport | undefined {
	const key = getResourceKey({type: 'teamLimit', team: bound.team});
	const lent = home.resources.get(key);
	// A home that may not know every loan cannot say what is charged.
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

/** Small changes of demand do not move grants, so they are not reported. */
function getReportFingerprint({version, viewEpoch, wanted, charged}: TeamLimitReport, {isRecalled}: TeamBound): string {
	const wantedBucket = wanted === 0 ? 0 : 2 ** Math.ceil(Math.log2(wanted));
	return [version, viewEpoch, wantedBucket, isRecalled ? charged : ''].join(' ');
}

/**
 * Writes the report that is due to the leader.
 *
 * @param state - The reports.
 * @param options - The home, the bounds of teams in the own data centre, and the time.
 * @returns The reports, and the message if there is anything to tell.
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
		return report === undefined ? [] : [{report, significance: getReportFingerprint(report, bound)}];
	});
	const due = candidates.filter(({report, significance}) => isFull || state.sentFingerprints.get(report.team) !== significance);
	if (due.length === 0) {
		return {state, message: undefined};
	}

	const sent = state.sentFingerprints.merge(due.map(({report, significance}): [TeamId, string] => [report.team, significance]));
	return {
		state: {
			...state, sentFingerprints: sent, lastSentAtMs: nowMs, lastFullReportAtMs: isFull ? nowMs : state.lastFullReportAtMs,
		},
		message: {type: 'escrow/limitReport', reports: due.map(({report}) => report)},
	};
}

/**
 * @param state - The reports.
 * @param reports - What a home reported.
 * @returns The reports, without any that a home of a newer view has replaced.
 */
export function recordLimitReports(state: LimitReportsState, reports: readonly TeamLimitReport[]): LimitReportsState {
	const entries = reports
		.map((report): [string, TeamLimitReport] => [`${report.dataCentre} ${report.team}`, report])
		.filter(([key, {viewEpoch, version}]) => {
			const known = state.received.get(key);
			return known === undefined || viewEpoch > known.viewEpoch || (viewEpoch === known.viewEpoch && version >= known.version);
		});
	return {...state, received: state.received.merge(entries)};
}
