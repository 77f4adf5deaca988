/**
 * A small fake of minions in virtual time, on which schedulers are compared with the same trace.
 */
import {type getTrace, type Arrival} from './trace.js';
import {type FleetSize, createMinions} from './fleet.js';

/** A job that a scheduler has started. */
export type Started = {
	readonly job: number;
	readonly attempt: number;
	readonly minion: string;
};

/** A job that a scheduler has refused. */
export type Refused = {
	readonly job: number;
	readonly ran: 'no' | 'maybe' | 'yes';
};

/** What a scheduler decides after an event. */
export type Decided = {
	readonly started: readonly Started[];
	readonly refused: readonly Refused[];
};

/** A policy under test. Times are in milliseconds. */
export type Scheduler = {
	readonly submit: (arrival: Arrival, nowMs: number) => Decided;
	readonly answer: (started: Started, nowMs: number) => Decided;
	readonly fail: (started: Started, bytesSent: boolean, nowMs: number) => Decided;
	readonly loseMinions: (minions: ReadonlySet<string>, nowMs: number) => Decided;
	readonly tick: (nowMs: number) => Decided;
	readonly countRunning: (pool: number, team: number) => number;
	readonly countWaiting: (pool: number, team: number) => number;
};

/** When some minions die, in milliseconds. */
export type Loss = {
	readonly atMs: number;
	readonly minions: ReadonlySet<string>;
};

/** What one run showed. */
export type RunResult = {
	readonly urgentStartsMs: readonly number[];
	readonly ordinaryStartsMs: readonly number[];
	/** Start times by team, in milliseconds. */
	readonly startsByTeam: ReadonlyArray<readonly number[]>;
	readonly refused: number;
	/** Refusals as not run of jobs that a minion had started. */
	readonly falseRefusals: number;
	readonly mostOnOneMinion: number;
};

type TimedEvent = {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
};

/** Time until a dead minion's connections are given up. */
const failureDelayMs = 300;
/** Time until the fleet knows that a minion is dead. */
const detectionMs = 1500;
const tickMs = 100;

function isBefore(left: TimedEvent, right: TimedEvent): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

function pushEvent(heap: TimedEvent[], event: TimedEvent): void {
	heap.push(event);
	let index = heap.length - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		const above = heap[parent];
		if (above === undefined || !isBefore(event, above)) {
			break;
		}

		heap[index] = above;
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
	readonly arrivals: ReturnType<typeof getTrace>;
	readonly scheduler: Scheduler;
	readonly losses?: readonly Loss[];
	readonly onSecond?: (nowMs: number) => void;
}): RunResult {
	const {size, arrivals, scheduler, losses = [], onSecond} = options;
	const heap: TimedEvent[] = [];
	const running = new Map<string, Set<Started>>(createMinions(size).map(({minion}) => [minion, new Set()]));
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

	const at = (atMs: number, run: () => void) => {
		order += 1;
		pushEvent(heap, {atMs, order, run});
	};

	const noteStart = ({job}: Started) => {
		const arrival = arrivals[job];
		if (arrival === undefined || startedJobs.has(job)) {
			return;
		}

		startedJobs.add(job);
		const delayMs = nowMs - arrival.atMs;
		(arrival.isUrgent ? urgentStartsMs : ordinaryStartsMs).push(delayMs);
		startsByTeam[arrival.team]?.push(delayMs);
	};

	const failLater = (started: Started, bytesSent: boolean) => {
		at(nowMs + failureDelayMs, () => {
			take(scheduler.fail(started, bytesSent, nowMs));
		});
	};

	const start = (started: Started) => {
		const onMinion = running.get(started.minion);
		if (dead.has(started.minion) || onMinion === undefined) {
			failLater(started, false);
			return;
		}

		onMinion.add(started);
		mostOnOneMinion = Math.max(mostOnOneMinion, onMinion.size);
		noteStart(started);
		at(nowMs + (arrivals[started.job]?.runTimeMs ?? 0), () => {
			if (onMinion.delete(started)) {
				take(scheduler.answer(started, nowMs));
			}
		});
	};

	const take = (decided: Decided) => {
		for (const {job, ran} of decided.refused) {
			refused += 1;
			falseRefusals += Number(ran === 'no' && startedJobs.has(job));
		}

		for (const started of decided.started) {
			start(started);
		}
	};

	const lose = ({minions}: Loss) => {
		for (const minion of minions) {
			dead.add(minion);
			const lost = [...running.get(minion) ?? []];
			running.get(minion)?.clear();
			for (const started of lost) {
				failLater(started, true);
			}
		}

		at(nowMs + detectionMs, () => {
			take(scheduler.loseMinions(minions, nowMs));
		});
	};

	const submit = (arrival: Arrival) => {
		take(scheduler.submit(arrival, nowMs));
	};

	for (const arrival of arrivals) {
		at(arrival.atMs, () => {
			submit(arrival);
		});
	}

	for (const loss of losses) {
		at(loss.atMs, () => {
			lose(loss);
		});
	}

	const endMs = (arrivals.at(-1)?.atMs ?? 0) + 10_000;
	const tick = () => {
		take(scheduler.tick(nowMs));
		if (nowMs % 1000 === 0) {
			onSecond?.(nowMs);
		}

		if (nowMs < endMs) {
			at(nowMs + tickMs, tick);
		}
	};

	at(0, tick);
	for (let event = popEvent(heap); event !== undefined; event = popEvent(heap)) {
		nowMs = event.atMs;
		event.run();
	}

	return {
		urgentStartsMs, ordinaryStartsMs, startsByTeam, refused, falseRefusals, mostOnOneMinion,
	};
}

/**
 * @param values - Numbers in any order.
 * @param quantile - From 0 to 1.
 * @returns The value at that place in the order, or 0 where there is none.
 */
export function getValueAt(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
