/**
 * Feeds the shares report from the jobs.
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

/**
 * @param state - The jobs before.
 * @param nowMs - The time in milliseconds.
 * @returns The jobs with one more sample of the shares, where the last one is old enough.
 */
export function sampleShares(state: JobsState, nowMs: number): JobsState {
	const lastMs = state.shareWindow.last?.atMs;
	if (lastMs !== undefined && nowMs - lastMs < shareSampleIntervalMs) {
		return state;
	}

	const pools = [...state.pools].map(([id, pool]) => samplePool(state, id, pool));
	return changeState(state, {shareWindow: recordShares(state.shareWindow, {atMs: nowMs, pools})});
}

/**
 * @param state - The jobs of one entry host.
 * @returns What each team was due, held and used here, and how often it was refused, as means over
 * the last five minutes. Reports of several hosts are summed by `mergeShareReports`.
 */
export function getShareReport(state: JobsState): readonly ShareReportLine[] {
	return reportShares(state.shareWindow);
}
