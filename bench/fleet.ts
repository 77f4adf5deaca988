/**
 * Fleet sizes, test minions, test jobs and a driver of the jobs reducer for the benchmarks of scheduling decisions.
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

/** Size of a fleet. `slots`, `cores` and `memoryMb` are per worker. */
export type FleetSize = {
	readonly name: string;
	readonly workers: number;
	readonly pools: number;
	readonly teams: number;
	readonly slots: number;
	readonly cores: number;
	readonly memoryMb: number;
};

/** The current fleet of Irmandade. */
export const irmandadeFleet: FleetSize = {
	name: 'Irmandade', workers: 40, pools: 5, teams: 6, slots: 8, cores: 32, memoryMb: 131_072,
};
/** The current fleet of Tearmann. */
export const tearmannFleet: FleetSize = {
	name: 'Tearmann', workers: 35, pools: 5, teams: 6, slots: 8, cores: 32, memoryMb: 65_536,
};
/** The size that is expected in two years. The design must support it. */
export const twoYearTarget: FleetSize = {
	name: 'two years', workers: 620, pools: 25, teams: 57, slots: 8, cores: 32, memoryMb: 131_072,
};

const workersPerRack = 4;

export const toPool = (index: number) => toBrand<PoolId>(`pool-${index}`);
export const toTeam = (index: number) => toBrand<TeamId>(`team-${index}`);
export const toMs = (ms: number) => toBrand<MonotonicMs>(ms);

/** Creates one minion per worker. Pools are assigned round robin; consecutive workers share a rack. */
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
 * Creates a job that is idempotent, of ordinary urgency and due in one minute, unless `overrides` says otherwise.
 */
export function createJob(options: {
	readonly number: number;
	readonly pool: PoolId;
	readonly team: TeamId;
	readonly nowMs: number;
	readonly overrides?: Partial<JobSpec>;
}): JobSpec {
	const {number, pool, team, nowMs, overrides = {}} = options;
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
		...overrides,
	};
}

/** An event of the jobs reducer without `nowMs`, which the driver adds. */
export type EventWithoutTime<Event = JobsEvent> = Event extends JobsEvent ? Omit<Event, 'nowMs'> : never;

/** A jobs reducer and its state. The caller passes the virtual time with each event. */
export type BenchNode = {
	readonly getState: () => JobsState;
	readonly send: (event: EventWithoutTime, nowMs: number) => readonly JobsEffect[];
};

/**
 * Creates a jobs reducer in its initial state.
 *
 * @param overrides - Settings that differ from the default configuration.
 */
export function createBenchNode(random: RandomSource = createSeededRandom(1), overrides: Partial<JobsCfg> = {}): BenchNode {
	const cfg = {...createDefaultJobsCfg(random), ...overrides};
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

/** Formats rows of cells as a Markdown table. The first row holds the column headings. */
export function formatTable(rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const [head = [], ...body] = rows;
	const lines = [head, head.map(() => '---'), ...body];
	return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
