/**
 * Copies of the state with some fields changed. They run for every job, so they name every field:
 * copying a spread object by a further spread costs about ten times as much in V8 11.
 */
import type {
	JobsState, MinionState, PoolState, PoolTeam,
} from './state.js';

export function changeState(state: JobsState, changes: Partial<JobsState>): JobsState {
	return {
		jobs: changes.jobs ?? state.jobs,
		reservations: changes.reservations ?? state.reservations,
		pools: changes.pools ?? state.pools,
		teams: changes.teams ?? state.teams,
		minions: changes.minions ?? state.minions,
		workers: changes.workers ?? state.workers,
		retryBudgets: changes.retryBudgets ?? state.retryBudgets,
		runProfiles: changes.runProfiles ?? state.runProfiles,
		timers: changes.timers ?? state.timers,
		shareWindow: changes.shareWindow ?? state.shareWindow,
		isStopping: changes.isStopping ?? state.isStopping,
	};
}

export function changePool(pool: PoolState, changes: Partial<PoolState>): PoolState {
	return {
		ready: changes.ready ?? pool.ready,
		order: changes.order ?? pool.order,
		teams: changes.teams ?? pool.teams,
		heldSlots: changes.heldSlots ?? pool.heldSlots,
		cores: changes.cores ?? pool.cores,
		memoryMb: changes.memoryMb ?? pool.memoryMb,
		workerSizes: changes.workerSizes ?? pool.workerSizes,
		servedFloor: changes.servedFloor ?? pool.servedFloor,
	};
}

/**
 * Copies the state of a team in a pool. A `rank` of `undefined` removes the rank; other `undefined`
 * values keep the field.
 */
export function changePoolTeam(poolTeam: PoolTeam, changes: Partial<PoolTeam>): PoolTeam {
	return {
		urgent: changes.urgent ?? poolTeam.urgent,
		ordinary: changes.ordinary ?? poolTeam.ordinary,
		running: changes.running ?? poolTeam.running,
		dispatched: changes.dispatched ?? poolTeam.dispatched,
		usedSlots: changes.usedSlots ?? poolTeam.usedSlots,
		urgentUsedSlots: changes.urgentUsedSlots ?? poolTeam.urgentUsedSlots,
		runningElsewhere: changes.runningElsewhere ?? poolTeam.runningElsewhere,
		servedPerWeight: changes.servedPerWeight ?? poolTeam.servedPerWeight,
		runningByRack: changes.runningByRack ?? poolTeam.runningByRack,
		refusedCount: changes.refusedCount ?? poolTeam.refusedCount,
		isDemandChanged: changes.isDemandChanged ?? poolTeam.isDemandChanged,
		rank: 'rank' in changes ? changes.rank : poolTeam.rank,
	};
}

export function changeMinion(minion: MinionState, changes: Partial<MinionState>): MinionState {
	return {
		info: changes.info ?? minion.info,
		usedSlots: changes.usedSlots ?? minion.usedSlots,
		usedConnections: changes.usedConnections ?? minion.usedConnections,
		usedCores: changes.usedCores ?? minion.usedCores,
		usedMemoryMb: changes.usedMemoryMb ?? minion.usedMemoryMb,
		isReady: changes.isReady ?? minion.isReady,
	};
}
