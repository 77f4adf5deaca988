/**
 * The schedulers that are compared: the jobs reducer, and first come, first served.
 */
import {createSeededRandom, toBrand, type JobId} from '@samphiremill/common';
import type {JobsCfg, JobsEffect} from '@samphiremill/core';
import {
	createBenchNode, createJob, createMinions, toPool, toTeam, type FleetSize, type TimelessEvent,
} from './fleet.js';
import type {Decided, Scheduler, Started} from './simulation.js';
import type {Arrival} from './trace.js';

function toNumber(job: string): number {
	return Number(job.slice('job-'.length));
}

function toDecided(effects: readonly JobsEffect[]): Decided {
	return {
		started: effects.flatMap(effect => effect.type === 'jobs/dispatch'
			? [{job: toNumber(effect.job), attempt: effect.attempt, minion: effect.minion}]
			: []),
		refused: effects.flatMap(effect => effect.type === 'jobs/finish' && effect.outcome.type === 'refused'
			? [{job: toNumber(effect.spec.job), ran: effect.outcome.ran}]
			: []),
	};
}

function toJobAttempt({job, attempt}: Started): {readonly job: JobId; readonly attempt: number} {
	return {job: toBrand<JobId>(`job-${job}`), attempt};
}

/**
 * @param size - The fleet's size.
 * @param weights - The teams' weights.
 * @param changes - What differs from the default bounds.
 * @returns The jobs reducer as a scheduler.
 */
export function createJobsScheduler(
	size: FleetSize,
	weights: readonly number[],
	changes: Partial<JobsCfg> = {},
): Scheduler {
	const node = createBenchNode(createSeededRandom(2), changes);
	const minions = createMinions(size);
	const send = (event: TimelessEvent, nowMs: number) => toDecided(node.send(event, nowMs));
	const teams = weights.map((weight, index) => ({team: toTeam(index), weight, isLimited: false}));
	send({type: 'jobs/policyChanged', policy: {queues: [], teams}}, 0);
	send({type: 'jobs/minionsChanged', minions}, 0);
	const getPoolTeam = (pool: number, team: number) => node.getState().pools.get(toPool(pool))?.teams.get(toTeam(team));
	return {
		submit({job, pool, team, isUrgent, deadlineAtMs}, nowMs) {
			const spec = createJob({
				number: job,
				pool: toPool(pool),
				team: toTeam(team),
				nowMs,
				changes: {urgency: isUrgent ? 'urgent' : 'ordinary', deadlineAtMs: toBrand(deadlineAtMs)},
			});
			return send({type: 'jobs/submitted', spec}, nowMs);
		},
		answer(started, nowMs) {
			return send({type: 'jobs/answered', ...toJobAttempt(started), status: 200}, nowMs);
		},
		fail(started, bytesSent, nowMs) {
			return send({
				type: 'jobs/attemptFailed', ...toJobAttempt(started), bytesSent, kind: bytesSent ? 'reset' : 'connectTimeout',
			}, nowMs);
		},
		loseMinions(lost, nowMs) {
			return send({type: 'jobs/minionsChanged', minions: minions.filter(({minion}) => !lost.has(minion))}, nowMs);
		},
		tick: nowMs => send({type: 'jobs/tick'}, nowMs),
		countRunning: (pool, team) => getPoolTeam(pool, team)?.running ?? 0,
		countWaiting(pool, team) {
			const found = getPoolTeam(pool, team);
			return found === undefined ? 0 : found.urgent.entries.size + found.ordinary.entries.size;
		},
	};
}

type FcfsPool = {
	readonly waiting: Arrival[];
	readonly minions: Array<{readonly minion: string; used: number; isDead: boolean}>;
	readonly running: Map<number, number>;
	head: number;
};

const nothing: Decided = {started: [], refused: []};

/**
 * The baseline: each pool's jobs in the order of their submission, on the first minion with a free
 * slot, without regard to teams, urgency or deadlines. A lost job is not tried again.
 *
 * @param size - The fleet's size.
 * @returns The scheduler.
 */
export function createFcfsScheduler(size: FleetSize): Scheduler {
	const pools = Array.from({length: size.pools}, (_, index): FcfsPool => ({
		waiting: [],
		minions: createMinions(size)
			.filter(({pool}) => pool === toPool(index))
			.map(({minion}) => ({minion, used: 0, isDead: false})),
		running: new Map(),
		head: 0,
	}));
	const arrivals = new Map<number, Arrival>();
	const count = (pool: FcfsPool, team: number, change: 1 | -1) => {
		pool.running.set(team, (pool.running.get(team) ?? 0) + change);
	};

	const place = (pool: FcfsPool): Decided => {
		const started: Started[] = [];
		for (;;) {
			const next = pool.waiting[pool.head];
			const minion = pool.minions.find(({used, isDead}) => !isDead && used < size.slots);
			if (next === undefined || minion === undefined) {
				return {started, refused: []};
			}

			pool.head += 1;
			minion.used += 1;
			count(pool, next.team, 1);
			started.push({job: next.job, attempt: 1, minion: minion.minion});
		}
	};

	const end = ({job, minion}: Started): Decided => {
		const arrival = arrivals.get(job);
		const pool = arrival && pools[arrival.pool];
		const host = pool?.minions.find(other => other.minion === minion);
		if (arrival === undefined || pool === undefined || host === undefined) {
			return nothing;
		}

		host.used -= 1;
		count(pool, arrival.team, -1);
		return place(pool);
	};

	return {
		submit(arrival) {
			arrivals.set(arrival.job, arrival);
			const pool = pools[arrival.pool];
			pool?.waiting.push(arrival);
			return pool === undefined ? nothing : place(pool);
		},
		answer: end,
		fail(started) {
			const {started: next} = end(started);
			return {started: next, refused: [{job: started.job, ran: 'maybe'}]};
		},
		loseMinions(lost) {
			for (const host of pools.flatMap(({minions}) => minions)) {
				host.isDead ||= lost.has(host.minion);
			}

			return nothing;
		},
		tick: () => nothing,
		countRunning: (pool, team) => pools[pool]?.running.get(team) ?? 0,
		countWaiting(pool, team) {
			const found = pools[pool];
			return found === undefined ? 0 : found.waiting.slice(found.head).filter(arrival => arrival.team === team).length;
		},
	};
}
