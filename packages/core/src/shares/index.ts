/**
 * Weighted max-min shares, the order of teams by them, and the report over a window.
 */
export type * from './types.js';
export {computeDominantShares, computeShares, getDominantShare} from './compute-shares.js';
export {
	createShareWindow,
	mergeShareReports,
	recordShares,
	reportShares,
	type PoolShareSample,
	type ShareReportLine,
	type ShareWindow,
	type TeamShareSample,
} from './share-window.js';
export {
	addTeam, createTeamOrder, pickTeam, removeTeam, type TeamOrder, type TeamPick, type TeamRank,
} from './team-order.js';
