/**
 * Samples the jobs for the shares report.
 */
import type {PoolId, TeamId} from '@samphiremill/common';
import {
	recordShares, reportShares, type PoolShareSample, type ShareReportLine, type TeamShareSample,
} from '../shares/index.js';
import {changeState} from './change-state.js';
import {shareSampleIntervalMs} from './constants.js';
import {getTeam, getWaitingCount} from './pool-teams.js';
import type {JobsState, PoolState, PoolTeam} from './state.js';

function sampleTeam(state: JobsState, team: TeamId, poolTeam: PoolTeam): TeamShareSample {
	const {weight, isLimited, heldLimit} = getTeam(state, team);
	return {
		team,
		weight,
		...(isLimited ? {limit: heldLimit} : {}),
		demandedSlots: poolTeam.usedSlots + getWaitingCount(poolTeam),
		grantedSlots: poolTeam.usedSlots,
		usedSlots: poolTeam.dispatched,
		refused: poolTeam.refusedCount,
	};
}

function samplePool(state: JobsState, pool: PoolId, {heldSlots, teams}: PoolState): PoolShareSample {
	return {
		pool,
		capacitySlots: heldSlots,
		teams: [...teams].map(([team, poolTeam]) => sampleTeam(state, team, poolTeam)),
	};
}

/** Adds a sample of the shares if the last one is old enough. */
export function sampleShares(state: JobsState, nowMs: number): JobsState {
	const lastMs = state.shareWindow.last?.atMs;
	if (lastMs !== undefined && nowMs - lastMs < shareSampleIntervalMs) {
		return state;
	}

	const pools = [...state.pools].map(([id, pool]) => samplePool(state, id, pool));
	return changeState(state, {shareWindow: recordShares(state.shareWindow, {atMs: nowMs, pools})});
}

/**
 * Returns the fair share, the held and used slots and the refusals of each team on this host, as means
 * over the last five minutes. `mergeShareReports` sums the reports of several hosts.
 */
export function getShareReport(state: JobsState): readonly ShareReportLine[] {
	return reportShares(state.shareWindow);
}
