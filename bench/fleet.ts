/**
 * Sizes, traces and fake minions that the benches of decisions share.
 */
import {
	createSeededRandom, toBrand, type MonotonicMs, type PoolId, type RandomSource, type TeamId,
} from '@samphiremill/common';
import {
	createDefaultJobsCfg,
	createJobsState,
	reduceJobs,
	type JobsCfg,
	type JobsEffect,
	type JobsEvent,
	type JobSpec,
	type JobsState,
	type PlaceableMinion,
} from '@samphiremill/core';

/** A fleet's size. */
export type FleetSize = {
	readonly name: string;
	readonly workers: number;
	readonly pools: number;
	readonly teams: number;
	readonly slots: number;
	readonly cores: number;
	readonly memoryMb: number;
};

/** Irmandade's services of today. */
export const irmandadeFleet: FleetSize = {
	name: 'Irmandade', workers: 40, pools: 5, teams: 6, slots: 8, cores: 32, memoryMb: 131_072,
};
/** Tearmann's desks of today. */
export const tearmannFleet: FleetSize = {
	name: 'Tearmann', workers: 35, pools: 5, teams: 6, slots: 8, cores: 32, memoryMb: 65_536,
};
/** The size to design for. */
export const twoYearTarget: FleetSize = {
	name: 'two years', workers: 620, pools: 25, teams: 57, slots: 8, cores: 32, memoryMb: 131_072,
};

const workersPerRack = 4;

export const toPool = (index: number) => toBrand<PoolId>(`pool-${index}`);
export const toTeam = (index: number) => toBrand<TeamId>(`team-${index}`);
export const toMs = (ms: number) => toBrand<MonotonicMs>(ms);

/**
 * @param size - The fleet's size.
 * @returns One minion for each worker, dealt out over the pools by rack.
 */
export function createMinions(size: FleetSize): readonly PlaceableMinion[] {
	return Array.from({length: size.workers}, (_, index) => ({
		minion: toBrand(`minion-${index}`),
		incarnation: 1,
		worker: toBrand(`worker-${index}`),
		pool: toPool(index % size.pools),
		rack: `rack-${Math.floor(index / workersPerRack)}`,
		cores: size.cores,
		memoryMb: size.memoryMb,
		heldSlots: size.slots,
		connections: 64,
		isAcceptingWork: true,
	}));
}

/**
 * @param options - The job's number, pool and team, the time, and what differs from an idempotent
 * ordinary job with a minute to its deadline.
 * @returns The job.
 */
export function createJob(options: {
	readonly number: number;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly nowMs: number;
	readonly changes?: Partial<JobSpec>;
}): JobSpec {
	const {number, pool, team, nowMs, changes = {}} = options;
	return {
		job: toBrand(`job-${number}`),
		queue: toBrand(`queue-of-${pool}`),
		pool,
		team,
		bodyHash: '00',
		isIdempotent: true,
		urgency: 'ordinary',
		submittedAtMs: toMs(nowMs),
		deadlineAtMs: toMs(nowMs + 60_000),
		...changes,
	};
}

/** One of the events without its time. */
export type EventWithoutTime<Event = JobsEvent> = Event extends JobsEvent ? Omit<Event, 'nowMs'> : never;

/** A node's jobs, driven at given times. */
export type BenchNode = {
	readonly getState: () => JobsState;
	readonly send: (event: EventWithoutTime, nowMs: number) => readonly JobsEffect[];
};

/**
 * @param random - The source of chance.
 * @param changes - What differs from the default bounds.
 * @returns A node that knows nothing yet.
 */
export function createBenchNode(random: RandomSource = createSeededRandom(1), changes: Partial<JobsCfg> = {}): BenchNode {
	const cfg = {...createDefaultJobsCfg(random), ...changes};
	let state = createJobsState();
	return {
		getState: () => state,
		send(event, nowMs) {
			const step = reduceJobs(state, {...event, nowMs: toMs(nowMs)}, cfg);
			state = step.state;
			return step.effects;
		},
	};
}

/**
 * @param rows - Rows of cells, the first one with the headings.
 * @returns A Markdown table.
 */
export function formatTable(rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const [head = [], ...body] = rows;
	const lines = [head, head.map(() => '---'), ...body];
	return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
