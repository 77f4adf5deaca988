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

function addUse(minion: MinionState, reservation: Reservation, sign: 1 | -1): MinionState {
	return changeMinion(minion, {
		usedSlots: minion.usedSlots + sign,
		usedConnections: minion.usedConnections + (reservation.hasConnection ? sign : 0),
		usedCores: minion.usedCores + (sign * reservation.cores),
		usedMemoryMb: minion.usedMemoryMb + (sign * reservation.memoryMb),
	});
}

function getMinionOf(state: JobsState, {minion, incarnation}: Reservation): MinionState | undefined {
	const found = state.minions.get(minion);
	return found?.info.incarnation === incarnation ? found : undefined;
}

function addTeamUse(poolTeam: PoolTeam, reservation: Reservation, sign: 1 | -1): PoolTeam {
	const urgentSlots = reservation.urgency === 'urgent' ? reservation.shareSlots : 0;
	const rackCount = poolTeam.rackUse.get(reservation.rack, 0) + sign;
	return changePoolTeam(poolTeam, {
		running: poolTeam.running + sign,
		usedSlots: Math.max(0, poolTeam.usedSlots + (sign * reservation.shareSlots)),
		urgentUsedSlots: Math.max(0, poolTeam.urgentUsedSlots + (sign * urgentSlots)),
		rackUse: rackCount === 0
			? poolTeam.rackUse.delete(reservation.rack)
			: poolTeam.rackUse.set(reservation.rack, rackCount),
	});
}

function listUseEffects(state: JobsState, reservation: Reservation): readonly JobsEffect[] {
	const {minion, incarnation, team} = reservation;
	const inUse = getMinionOf(state, reservation)?.usedSlots;
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

function countMinionUse(state: JobsState, reservation: Reservation, sign: 1 | -1): JobsState {
	const minion = getMinionOf(state, reservation);
	return minion === undefined ? state : putMinion(state, addUse(minion, reservation, sign));
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
	const onMinion = countMinionUse(changeState(state, {reservations}), reservation, 1);
	const inTeam = updateTeam(onMinion, team, before => ({...before, running: before.running + 1}));
	const inPool = updatePoolTeam(inTeam, {pool, team}, poolTeam => addTeamUse(change(poolTeam), reservation, 1));
	return {state: inPool, effects: listUseEffects(inPool, reservation)};
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
	const onMinion = countMinionUse(changeState(state, {reservations: state.reservations.delete(key)}), reservation, -1);
	const inTeam = updateTeam(onMinion, team, before => ({...before, running: before.running - 1}));
	const inPool = updatePoolTeam(inTeam, {pool, team}, poolTeam => changePoolTeam(addTeamUse(poolTeam, reservation, -1), {
		dispatched: poolTeam.dispatched - Number(isDispatched),
		servedPerWeight: poolTeam.servedPerWeight + servedPerWeight,
	}));
	return {state: inPool, effects: listUseEffects(inPool, reservation)};
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
export function dropConnection(state: JobsState, jobAttempt: JobAttempt): JobsState {
	const key = getReservationKey(jobAttempt);
	const reservation = state.reservations.get(key);
	if (!reservation?.hasConnection) {
		return state;
	}

	const reservations = state.reservations.set(key, {...reservation, hasConnection: false});
	const changed = changeState(state, {reservations});
	const minion = getMinionOf(state, reservation);
	return minion === undefined
		? changed
		: putMinion(changed, changeMinion(minion, {usedConnections: minion.usedConnections - 1}));
}

