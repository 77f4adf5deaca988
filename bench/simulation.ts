/**
 * A small fake of minions in virtual time, on which schedulers are compared with the same trace.
 */
import {type createTrace, type Arrival} from './trace.js';
import {type FleetSize, createMinions} from './fleet.js';

/** A job that a scheduler has started. */
export type StartedJob = {
	readonly job: number;
	readonly attempt: number;
	readonly minion: string;
};

/** A job that a scheduler has refused. */
export type RefusedJob = {
	readonly job: number;
	readonly ran: 'no' | 'maybe' | 'yes';
};

/** What a scheduler decides after an event. */
export type SchedulerDecisions = {
	readonly started: readonly StartedJob[];
	readonly refused: readonly RefusedJob[];
};

/** A policy under test. Times are in milliseconds. */
export type Scheduler = {
	readonly submit: (arrival: Arrival, nowMs: number) => SchedulerDecisions;
	readonly recordAnswer: (started: StartedJob, nowMs: number) => SchedulerDecisions;
	readonly recordFailure: (started: StartedJob, bytesSent: boolean, nowMs: number) => SchedulerDecisions;
	readonly removeMinions: (minions: ReadonlySet<string>, nowMs: number) => SchedulerDecisions;
	readonly tick: (nowMs: number) => SchedulerDecisions;
	readonly countRunning: (pool: number, team: number) => number;
	readonly countWaiting: (pool: number, team: number) => number;
};

/** When some minions die, in milliseconds. */
export type MinionLoss = {
	readonly atMs: number;
	readonly minions: ReadonlySet<string>;
};

/** What one run showed. */
export type SimulationResult = {
	readonly urgentStartDelaysMs: readonly number[];
	readonly ordinaryStartDelaysMs: readonly number[];
	/** Start times by team, in milliseconds. */
	readonly startDelaysByTeamMs: ReadonlyArray<readonly number[]>;
	readonly refused: number;
	/** Refusals as not run of jobs that a minion had started. */
	readonly falseRefusals: number;
	readonly maximumJobsPerMinion: number;
};

type TimedEvent = {
	readonly atMs: number;
	readonly sequence: number;
	readonly run: () => void;
};

/** Time until a dead minion's connections are given up. */
const connectionFailureDelayMs = 300;
/** Time until the fleet knows that a minion is dead. */
const deathDetectionDelayMs = 1500;
const tickMs = 100;

function isBefore(left: TimedEvent, right: TimedEvent): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

function pushEvent(heap: TimedEvent[], event: TimedEvent): void {
	heap.push(event);
	let index = heap.length - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		const parentEvent = heap[parent];
		if (parentEvent === undefined || !isBefore(event, parentEvent)) {
			break;
		}

		heap[index] = parentEvent;
		index = parent;
	}

	heap[index] = event;
}

function popEvent(heap: TimedEvent[]): TimedEvent | undefined {
	const first = heap[0];
	const last = heap.pop();
	if (first === undefined || last === undefined || heap.length === 0) {
		return first;
	}

	let index = 0;
	for (;;) {
		const left = (2 * index) + 1;
		const leftItem = heap[left];
		const rightItem = heap[left + 1];
		const child = rightItem !== undefined && leftItem !== undefined && isBefore(rightItem, leftItem) ? left + 1 : left;
		const item = heap[child];
		if (item === undefined || !isBefore(item, last)) {
			break;
		}

		heap[index] = item;
		index = child;
	}

	heap[index] = last;
	return first;
}

/**
 * Runs one scheduler over a trace.
 *
 * @param options - The fleet, the trace, the scheduler, the minions that die, and what is called
 * each virtual second with the time in milliseconds.
 * @returns What the run showed.
 */
export function simulate(options: {
	readonly size: FleetSize;
	readonly arrivals: ReturnType<typeof createTrace>;
	readonly scheduler: Scheduler;
	readonly losses?: readonly MinionLoss[];
	readonly onSecond?: (nowMs: number) => void;
}): SimulationResult {
	const {size, arrivals, scheduler, losses = [], onSecond} = options;
	const heap: TimedEvent[] = [];
	const running = new Map<string, Set<StartedJob>>(createMinions(size).map(({minion}) => [minion, new Set()]));
	const dead = new Set<string>();
	const startedJobs = new Set<number>();
	const urgentStartsMs: number[] = [];
	const ordinaryStartsMs: number[] = [];
	const startsByTeam = Array.from({length: size.teams}, (): number[] => []);
	let refused = 0;
	let falseRefusals = 0;
	let mostOnOneMinion = 0;
	let order = 0;
	let nowMs = 0;

	const schedule = (atMs: number, run: () => void) => {
		order += 1;
		pushEvent(heap, {atMs, sequence: order, run});
	};

	const recordStart = ({job}: StartedJob) => {
		const arrival = arrivals[job];
		if (arrival === undefined || startedJobs.has(job)) {
			return;
		}

		startedJobs.add(job);
		const delayMs = nowMs - arrival.atMs;
		(arrival.isUrgent ? urgentStartsMs : ordinaryStartsMs).push(delayMs);
		startsByTeam[arrival.team]?.push(delayMs);
	};

	const scheduleFailure = (started: StartedJob, bytesSent: boolean) => {
		schedule(nowMs + connectionFailureDelayMs, () => {
			applyDecisions(scheduler.recordFailure(started, bytesSent, nowMs));
		});
	};

	const startJob = (started: StartedJob) => {
		const jobsOnMinion = running.get(started.minion);
		if (dead.has(started.minion) || jobsOnMinion === undefined) {
			scheduleFailure(started, false);
			return;
		}

		jobsOnMinion.add(started);
		mostOnOneMinion = Math.max(mostOnOneMinion, jobsOnMinion.size);
		recordStart(started);
		schedule(nowMs + (arrivals[started.job]?.runTimeMs ?? 0), () => {
			if (jobsOnMinion.delete(started)) {
				applyDecisions(scheduler.recordAnswer(started, nowMs));
			}
		});
	};

	const applyDecisions = (decisions: SchedulerDecisions) => {
		for (const {job, ran} of decisions.refused) {
			refused += 1;
			falseRefusals += Number(ran === 'no' && startedJobs.has(job));
		}

		for (const started of decisions.started) {
			startJob(started);
		}
	};

	const killMinions = ({minions}: MinionLoss) => {
		for (const minion of minions) {
			dead.add(minion);
			const lost = [...running.get(minion) ?? []];
			running.get(minion)?.clear();
			for (const started of lost) {
				scheduleFailure(started, true);
			}
		}

		schedule(nowMs + deathDetectionDelayMs, () => {
			applyDecisions(scheduler.removeMinions(minions, nowMs));
		});
	};

	const submitJob = (arrival: Arrival) => {
		applyDecisions(scheduler.submit(arrival, nowMs));
	};

	for (const arrival of arrivals) {
		schedule(arrival.atMs, () => {
			submitJob(arrival);
		});
	}

	for (const loss of losses) {
		schedule(loss.atMs, () => {
			killMinions(loss);
		});
	}

	const endMs = (arrivals.at(-1)?.atMs ?? 0) + 10_000;
	const tick = () => {
		applyDecisions(scheduler.tick(nowMs));
		if (nowMs % 1000 === 0) {
			onSecond?.(nowMs);
		}

		if (nowMs < endMs) {
			schedule(nowMs + tickMs, tick);
		}
	};

	schedule(0, tick);
	for (let event = popEvent(heap); event !== undefined; event = popEvent(heap)) {
		nowMs = event.atMs;
		event.run();
	}

	return {
		urgentStartDelaysMs: urgentStartsMs, ordinaryStartDelaysMs: ordinaryStartsMs, startDelaysByTeamMs: startsByTeam, refused, falseRefusals, maximumJobsPerMinion: mostOnOneMinion,
	};
}

/**
 * @param values - Numbers in any order.
 * @param quantile - From 0 to 1.
 * @returns The value at that place in the order, or 0 where there is none.
 */
export function getQuantileOrZero(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
