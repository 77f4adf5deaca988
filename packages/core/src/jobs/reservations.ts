/**
 * What attempts take of minions and limits, from the placement until nothing of them is left.
 */
import {changeMinion, changePoolTeam, changeState} from './change-state.js';
import {putMinion} from './minions.js';
import {getTeam, updatePoolTeam, updateTeam} from './pool-teams.js';
import type {
	JobsState, JobsStep, MinionState, PoolTeam, Reservation,
} from './state.js';
import type {JobAttempt, JobsEffect} from './types.js';

/**
 * @param jobAttempt - The attempt.
 * @returns The key of its reservation.
 */
export function getReservationKey({job, attempt}: JobAttempt): string {
	return `${job}#${attempt}`;
}

function adjustMinionUse(minion: MinionState, reservation: Reservation, sign: 1 | -1): MinionState {
	return changeMinion(minion, {
		usedSlots: minion.usedSlots + sign,
		usedConnections: minion.usedConnections + (reservation.hasConnection ? sign : 0),
		usedCores: minion.usedCores + (sign * reservation.cores),
		usedMemoryMb: minion.usedMemoryMb + (sign * reservation.memoryMb),
	});
}

function findReservedMinion(state: JobsState, {minion, incarnation}: Reservation): MinionState | undefined {
	const found = state.minions.get(minion);
	return found?.info.incarnation === incarnation ? found : undefined;
}

function adjustTeamUse(poolTeam: PoolTeam, reservation: Reservation, sign: 1 | -1): PoolTeam {
	const urgentSlots = reservation.urgency === 'urgent' ? reservation.shareSlots : 0;
	const rackCount = poolTeam.runningByRack.get(reservation.rack, 0) + sign;
	return changePoolTeam(poolTeam, {
		running: poolTeam.running + sign,
		usedSlots: Math.max(0, poolTeam.usedSlots + (sign * reservation.shareSlots)),
		urgentUsedSlots: Math.max(0, poolTeam.urgentUsedSlots + (sign * urgentSlots)),
		runningByRack: rackCount === 0
			? poolTeam.runningByRack.delete(reservation.rack)
			: poolTeam.runningByRack.set(reservation.rack, rackCount),
	});
}

function listUseEffects(state: JobsState, reservation: Reservation): readonly JobsEffect[] {
	const {minion, incarnation, team} = reservation;
	const inUse = findReservedMinion(state, reservation)?.usedSlots;
	const {isLimited, running} = getTeam(state, team);
	return [
		...(inUse === undefined
			? []
			: [{
				type: 'jobs/slotUseChanged' as const, minion, incarnation, inUse,
			}]),
		...(isLimited ? [{type: 'jobs/limitUseChanged' as const, team, inUse: running}] : []),
	];
}

function updateMinionUse(state: JobsState, reservation: Reservation, sign: 1 | -1): JobsState {
	const minion = findReservedMinion(state, reservation);
	return minion === undefined ? state : putMinion(state, adjustMinionUse(minion, reservation, sign));
}

/**
 * Takes a slot, a connection and a part of the team's limit.
 *
 * @param state - The jobs before.
 * @param reservation - What the attempt takes.
 * @param change - A further change of the team's work in the pool, made in the same step.
 * @returns The step.
 */
export function addReservation(
	state: JobsState,
	reservation: Reservation,
	change: (poolTeam: PoolTeam) => PoolTeam,
): JobsStep {
	const {pool, team} = reservation;
	const reservations = state.reservations.set(getReservationKey(reservation), reservation);
	const withMinionUse = updateMinionUse(changeState(state, {reservations}), reservation, 1);
	const withTeamUse = updateTeam(withMinionUse, team, before => ({...before, running: before.running + 1}));
	const withPoolUse = updatePoolTeam(withTeamUse, {pool, team}, poolTeam => adjustTeamUse(change(poolTeam), reservation, 1));
	return {state: withPoolUse, effects: listUseEffects(withPoolUse, reservation)};
}

/**
 * Gives back all that an attempt took. Doing so again changes nothing.
 *
 * @param state - The jobs before.
 * @param jobAttempt - The attempt.
 * @param nowMs - The time in milliseconds.
 * @returns The step.
 */
export function removeReservation(state: JobsState, jobAttempt: JobAttempt, nowMs: number): JobsStep {
	const key = getReservationKey(jobAttempt);
	const reservation = state.reservations.get(key);
	if (reservation === undefined) {
		return {state, effects: []};
	}

	const {pool, team, shareSlots, reservedAtMs, isDispatched} = reservation;
	const servedPerWeight = (nowMs - reservedAtMs) * shareSlots / getTeam(state, team).weight;
	const withoutMinionUse = updateMinionUse(changeState(state, {reservations: state.reservations.delete(key)}), reservation, -1);
	const withoutTeamUse = updateTeam(withoutMinionUse, team, before => ({...before, running: before.running - 1}));
	const withoutPoolUse = updatePoolTeam(withoutTeamUse, {pool, team}, poolTeam => changePoolTeam(adjustTeamUse(poolTeam, reservation, -1), {
		dispatched: poolTeam.dispatched - Number(isDispatched),
		servedPerWeight: poolTeam.servedPerWeight + servedPerWeight,
	}));
	return {state: withoutPoolUse, effects: listUseEffects(withoutPoolUse, reservation)};
}

/**
 * @param state - The jobs before.
 * @param jobAttempt - An attempt that is given to the shell now.
 * @returns The jobs after.
 */
export function markDispatched(state: JobsState, jobAttempt: JobAttempt): JobsState {
	const key = getReservationKey(jobAttempt);
	const reservation = state.reservations.get(key);
	if (reservation === undefined || reservation.isDispatched) {
		return state;
	}

	const reservations = state.reservations.set(key, {...reservation, isDispatched: true});
	const {pool, team} = reservation;
	return updatePoolTeam(changeState(state, {reservations}), {pool, team}, poolTeam => changePoolTeam(poolTeam, {
		dispatched: poolTeam.dispatched + 1,
	}));
}

/**
 * @param state - The jobs before.
 * @param jobAttempt - An attempt whose connection is gone while its slot may still be taken.
 * @returns The jobs after.
 */
export function releaseConnection(state: JobsState, jobAttempt: JobAttempt): JobsState {
	const key = getReservationKey(jobAttempt);
	const reservation = state.reservations.get(key);
	if (!reservation?.hasConnection) {
		return state;
	}

	const reservations = state.reservations.set(key, {...reservation, hasConnection: false});
	const changed = changeState(state, {reservations});
	const minion = findReservedMinion(state, reservation);
	return minion === undefined
		? changed
		: putMinion(changed, changeMinion(minion, {usedConnections: minion.usedConnections - 1}));
}

