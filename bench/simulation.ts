/**
 * Simulates minions in virtual time, so that schedulers can be compared on the same trace.
 */
import {type createTrace, type Arrival} from './trace.js';
import {type FleetSize, createMinions} from './fleet.js';

/** One attempt of a job that a scheduler has started on a minion. */
export type StartedJob = {
	readonly job: number;
	readonly attempt: number;
	readonly minion: string;
};

/** A job that a scheduler has refused. `ran` is what the scheduler reports to the caller: whether the job may have run. */
export type RefusedJob = {
	readonly job: number;
	readonly ran: 'no' | 'maybe' | 'yes';
};

/** Jobs that a scheduler starts and refuses in response to one event. */
export type SchedulerDecisions = {
	readonly started: readonly StartedJob[];
	readonly refused: readonly RefusedJob[];
};

/** A scheduler under test. Each method that returns decisions reports one event to it. Times are in milliseconds. */
export type Scheduler = {
	readonly submit: (arrival: Arrival, nowMs: number) => SchedulerDecisions;
	readonly recordAnswer: (started: StartedJob, nowMs: number) => SchedulerDecisions;
	readonly recordFailure: (started: StartedJob, bytesSent: boolean, nowMs: number) => SchedulerDecisions;
	readonly removeMinions: (minions: ReadonlySet<string>, nowMs: number) => SchedulerDecisions;
	readonly tick: (nowMs: number) => SchedulerDecisions;
	readonly countRunning: (pool: number, team: number) => number;
	readonly countWaiting: (pool: number, team: number) => number;
};

/** Minions that die at the same time, in milliseconds of virtual time. */
export type MinionLoss = {
	readonly atMs: number;
	readonly minions: ReadonlySet<string>;
};

/** Results of one simulated trace. */
export type SimulationResult = {
	readonly urgentStartDelaysMs: readonly number[];
	readonly ordinaryStartDelaysMs: readonly number[];
	/** Delays from submission to the first start, in milliseconds, per team. */
	readonly startDelaysByTeamMs: ReadonlyArray<readonly number[]>;
	readonly refused: number;
	/** Jobs that were refused with `ran: 'no'` although a minion had started them. */
	readonly falseRefusals: number;
	readonly maximumJobsPerMinion: number;
};

type TimedEvent = {
	readonly atMs: number;
	readonly sequence: number;
	readonly run: () => void;
};

/** Time from a failed connection attempt, or from the death of a minion, until the scheduler learns that the attempt failed. */
const connectionFailureDelayMs = 300;
/** Time from the death of a minion until the scheduler learns of it. */
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
 * Runs one scheduler over a trace. Calls `onSecond` once per second of virtual time.
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
	const urgentStartDelaysMs: number[] = [];
	const ordinaryStartDelaysMs: number[] = [];
	const startDelaysByTeamMs = Array.from({length: size.teams}, (): number[] => []);
	let refused = 0;
	let falseRefusals = 0;
	let maximumJobsPerMinion = 0;
	let sequence = 0;
	let nowMs = 0;

	const schedule = (atMs: number, run: () => void) => {
		sequence += 1;
		pushEvent(heap, {atMs, sequence, run});
	};

	const recordStart = ({job}: StartedJob) => {
		const arrival = arrivals[job];
		if (arrival === undefined || startedJobs.has(job)) {
			return;
		}

		startedJobs.add(job);
		const delayMs = nowMs - arrival.atMs;
		(arrival.isUrgent ? urgentStartDelaysMs : ordinaryStartDelaysMs).push(delayMs);
		startDelaysByTeamMs[arrival.team]?.push(delayMs);
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
		maximumJobsPerMinion = Math.max(maximumJobsPerMinion, jobsOnMinion.size);
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
		urgentStartDelaysMs, ordinaryStartDelaysMs, startDelaysByTeamMs, refused, falseRefusals, maximumJobsPerMinion,
	};
}

/**
 * Gets the value at a quantile.
 *
 * @param values - In any order.
 * @param quantile - From 0 to 1.
 * @returns 0 if there are no values.
 */
export function getQuantileOrZero(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
