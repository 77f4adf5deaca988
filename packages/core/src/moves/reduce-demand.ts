import type {
	DemandEvent, DemandState, MovesConfig, PoolDemand, SmoothedDemand,
} from './types.js';

/** @returns The state before the first report. */
export function createDemandState(): DemandState {
	return {pools: []};
}

/**
 * Smooths the demand of each pool and keeps since when it has been above or below the bounds, so
 * that a burst shorter than a move starts none.
 *
 * @param state - The demand so far.
 * @param event - The latest reports.
 * @param cfg - The time constant and the bounds.
 * @returns The demand with the reports taken in.
 */
export function reduceDemand(state: DemandState, event: DemandEvent, cfg: MovesConfig): DemandState {
	const elapsedMs = Math.max(0, event.nowMs - (state.observedAtMs ?? event.nowMs));
	const weight = state.observedAtMs === undefined ? 1 : 1 - Math.exp(-elapsedMs / cfg.smoothingMs);
	const known = new Map(state.pools.map(pool => [pool.pool, pool]));
	return {
		observedAtMs: event.nowMs,
		pools: event.pools.map(report => smoothDemand({
			report, previous: known.get(report.pool), weight, nowMs: event.nowMs, cfg,
		})),
	};
}

function smoothDemand({report, previous, weight, nowMs, cfg}: {
	report: PoolDemand;
	previous: SmoothedDemand | undefined;
	weight: number;
	nowMs: number;
	cfg: MovesConfig;
}): SmoothedDemand {
	const {pool, capacitySlots} = report;
	const before = previous?.demandSlots ?? report.demandSlots;
	const demandSlots = before + (weight * (report.demandSlots - before));
	const isAbove = demandSlots > cfg.lendAbove * capacitySlots;
	const isBelow = demandSlots < cfg.takeBackBelow * (capacitySlots - cfg.slotsPerHost);
	return {
		pool,
		capacitySlots,
		demandSlots,
		...(isAbove && {aboveSinceMs: previous?.aboveSinceMs ?? nowMs}),
		...(isBelow && {belowSinceMs: previous?.belowSinceMs ?? nowMs}),
	};
}
