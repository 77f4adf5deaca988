/**
 * The schedulers to compare: the jobs reducer of the product, and first come, first served as the baseline.
 */
import {createSeededRandom, toBrand, type JobId} from '@samphiremill/common';
import type {JobsCfg, JobsEffect} from '@samphiremill/core';
import {
	createBenchNode, createJob, createMinions, toPool, toTeam, type FleetSize, type EventWithoutTime,
} from './fleet.js';
import type {SchedulerDecisions, Scheduler, StartedJob} from './simulation.js';
import type {Arrival} from './trace.js';

function getJobNumber(job: string): number {
	return Number(job.slice('job-'.length));
}

function toSchedulerDecisions(effects: readonly JobsEffect[]): SchedulerDecisions {
	return {
		started: effects.flatMap(effect => effect.type === 'jobs/dispatch'
			? [{job: getJobNumber(effect.job), attempt: effect.attempt, minion: effect.minion}]
			: []),
		refused: effects.flatMap(effect => effect.type === 'jobs/finish' && effect.outcome.type === 'refused'
			? [{job: getJobNumber(effect.spec.job), ran: effect.outcome.ran}]
			: []),
	};
}

function toJobAttempt({job, attempt}: StartedJob): {readonly job: JobId; readonly attempt: number} {
	return {job: toBrand<JobId>(`job-${job}`), attempt};
}

/**
 * Wraps the jobs reducer as a scheduler.
 *
 * @param weights - Weight of each team.
 * @param overrides - Settings that differ from the default configuration.
 */
export function createJobsScheduler(
	size: FleetSize,
	weights: readonly number[],
	overrides: Partial<JobsCfg> = {},
): Scheduler {
	const node = createBenchNode(createSeededRandom(2), overrides);
	const minions = createMinions(size);
	const send = (event: EventWithoutTime, nowMs: number) => toSchedulerDecisions(node.send(event, nowMs));
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
				overrides: {urgency: isUrgent ? 'urgent' : 'ordinary', deadlineAtMs: toBrand(deadlineAtMs)},
			});
			return send({type: 'jobs/submitted', spec}, nowMs);
		},
		recordAnswer(started, nowMs) {
			return send({type: 'jobs/answered', ...toJobAttempt(started), status: 200}, nowMs);
		},
		recordFailure(started, bytesSent, nowMs) {
			return send({
				type: 'jobs/attemptFailed', ...toJobAttempt(started), bytesSent, kind: bytesSent ? 'reset' : 'connectTimeout',
			}, nowMs);
		},
		removeMinions(lost, nowMs) {
			return send({type: 'jobs/minionsChanged', minions: minions.filter(({minion}) => !lost.has(minion))}, nowMs);
		},
		tick: nowMs => send({type: 'jobs/tick'}, nowMs),
		countRunning: (pool, team) => getPoolTeam(pool, team)?.running ?? 0,
		countWaiting(pool, team) {
			const poolState = getPoolTeam(pool, team);
			return poolState === undefined ? 0 : poolState.urgent.entries.size + poolState.ordinary.entries.size;
		},
	};
}

type FcfsPool = {
	readonly waiting: Arrival[];
	readonly minions: Array<{readonly minion: string; used: number; isDead: boolean}>;
	readonly running: Map<number, number>;
	head: number;
};

const noDecisions: SchedulerDecisions = {started: [], refused: []};

/**
 * Creates the baseline scheduler. It starts each pool's jobs in the order of their submission, on the first minion
 * with a free slot. It ignores teams, urgency and deadlines, and does not retry a lost job.
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
	const adjustRunningCount = (pool: FcfsPool, team: number, change: 1 | -1) => {
		pool.running.set(team, (pool.running.get(team) ?? 0) + change);
	};

	const placeWaitingJobs = (pool: FcfsPool): SchedulerDecisions => {
		const started: StartedJob[] = [];
		for (;;) {
			const next = pool.waiting[pool.head];
			const minion = pool.minions.find(({used, isDead}) => !isDead && used < size.slots);
			if (next === undefined || minion === undefined) {
				return {started, refused: []};
			}

			pool.head += 1;
			minion.used += 1;
			adjustRunningCount(pool, next.team, 1);
			started.push({job: next.job, attempt: 1, minion: minion.minion});
		}
	};

	const endJob = ({job, minion}: StartedJob): SchedulerDecisions => {
		const arrival = arrivals.get(job);
		const pool = arrival && pools[arrival.pool];
		const poolMinion = pool?.minions.find(other => other.minion === minion);
		if (arrival === undefined || pool === undefined || poolMinion === undefined) {
			return noDecisions;
		}

		poolMinion.used -= 1;
		adjustRunningCount(pool, arrival.team, -1);
		return placeWaitingJobs(pool);
	};

	return {
		submit(arrival) {
			arrivals.set(arrival.job, arrival);
			const pool = pools[arrival.pool];
			pool?.waiting.push(arrival);
			return pool === undefined ? noDecisions : placeWaitingJobs(pool);
		},
		recordAnswer: endJob,
		recordFailure(started) {
			const {started: next} = endJob(started);
			return {started: next, refused: [{job: started.job, ran: 'maybe'}]};
		},
		removeMinions(lost) {
			for (const poolMinion of pools.flatMap(({minions}) => minions)) {
				poolMinion.isDead ||= lost.has(poolMinion.minion);
			}

			return noDecisions;
		},
		tick: () => noDecisions,
		countRunning: (pool, team) => pools[pool]?.running.get(team) ?? 0,
		countWaiting(pool, team) {
			const poolState = pools[pool];
			return poolState === undefined ? 0 : poolState.waiting.slice(poolState.head).filter(arrival => arrival.team === team).length;
		},
	};
}
