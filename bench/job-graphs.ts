/**
 * What orders and admissions earn at the worst load: one pool, jobs of steps, bursts of several times
 * the mean, callers that come back after a refusal, against an upper bound of what any order could earn.
 */
import process from 'node:process';
import {
	createSeededRandom, toBrand, type DataCentreId, type JobId, type MinionId, type PoolId, type QueueId, type RandomSource, type WorkerId,
} from '@samphiremill/common';
import {
	admitJob, applyLedgerCommand, createLedger, createIncarnationId, getOccurrenceWork, measureWorkAhead, plainStep, planStarts,
	type CompareReadySteps, type Job, type JobSpecification, type Ledger, type MinionRecord, type RunAssignment,
} from '@samphiremill/core';
import {formatTable} from './statistics.js';

const pool = toBrand<PoolId>('pool');
const machineMillicores = 32_000;
const tickMs = 10;
const lateShare = 0.07;
const lateFactor = 3;
const callerPatienceMs = 3000;
const callerTries = 5;

/** A kind of job. */
type Kind = {
	readonly name: string;
	readonly jobsPerSecond: number;
	readonly steps: number;
	readonly width: number;
	readonly taskMs: number;
	readonly millicores: number;
};

const kinds: readonly Kind[] = [
	{
		name: 'reservations', jobsPerSecond: 8, steps: 1.6, width: 6, taskMs: 640, millicores: 1800,
	},
	{
		name: 'reservations, twice the load', jobsPerSecond: 16, steps: 1.6, width: 6, taskMs: 640, millicores: 1800,
	},
	{
		name: 'contracts', jobsPerSecond: 0.8, steps: 2, width: 8, taskMs: 2100, millicores: 3800,
	},
	{
		name: 'contracts, twice the load', jobsPerSecond: 1.6, steps: 2, width: 8, taskMs: 2100, millicores: 3800,
	},
];

/** A way to order and to admit. */
type Policy = {
	readonly name: string;
	readonly compare: CompareReadySteps;
	/** A job is refused when it is expected later than this many times its objective. */
	readonly latestOverObjective: number;
};

const compareLate: CompareReadySteps = (left, right) => Number(left.isLate) - Number(right.isLate);

const compareBegunSmallest: CompareReadySteps = (left, right) => compareLate(left, right)
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| left.work - right.work;

const compareTight: CompareReadySteps = (left, right) => compareLate(left, right)
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| (left.hasStarted ? left.slackMs - right.slackMs : left.work - right.work);

const policies: readonly Policy[] = [
	{name: 'first come, first served, all taken', compare: (left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs, latestOverObjective: Number.POSITIVE_INFINITY},
	{name: 'least slack, 2.0', compare: (left, right) => compareLate(left, right) || left.slackMs - right.slackMs, latestOverObjective: 2},
	{name: 'least slack, 1.0', compare: (left, right) => compareLate(left, right) || left.slackMs - right.slackMs, latestOverObjective: 1},
	...[1, 1.5, 2, 3, 5].map(latestOverObjective => ({name: `begun, smallest, ${latestOverObjective}`, compare: compareBegunSmallest, latestOverObjective})),
	...[1.5, 3].map(latestOverObjective => ({name: `begun by slack, smallest, ${latestOverObjective}`, compare: compareTight, latestOverObjective})),
];

type Arrival = {
	readonly atMs: number;
	readonly specification: JobSpecification;
	readonly durationsMs: readonly number[];
	readonly objectiveMs: number;
	readonly work: number;
};

const draw = (random: RandomSource, {mean, spread, most}: {readonly mean: number; readonly spread: number; readonly most: number}) => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.min(most, Math.exp((spread * normal) + Math.log(mean) - (spread * spread / 2)));
};

const drawJob = (random: RandomSource, kind: Kind, atMs: number): Arrival => {
	const stepCount = Math.max(1, Math.round(draw(random, {mean: kind.steps, spread: 0.4, most: 5})));
	const lengths: number[] = [];
	const steps = Array.from({length: stepCount}, (_, index) => {
		const lengthMs = draw(random, {mean: kind.taskMs, spread: 0.5, most: kind.taskMs * 2.5});
		lengths.push(lengthMs);
		return {
			...plainStep,
			count: Math.max(1, Math.round(draw(random, {mean: kind.width, spread: 0.6, most: kind.width * 4}))),
			request: {cpuMillicores: Math.round(draw(random, {mean: kind.millicores, spread: 0.45, most: kind.millicores * 3})), memoryMb: 1, gpus: 0},
			estimateMs: lengthMs * Math.exp(0.2 * ((random() * 2) - 1)),
			dependsOn: index === 0 ? [] : [index - 1],
		};
	});
	const rounds = steps.map(({count, request}) => Math.max(1, Math.ceil(count * request.cpuMillicores / (8 * machineMillicores / 4))));
	const chainMs = lengths.reduce((sum, lengthMs, index) => sum + (lengthMs * (rounds[index] ?? 1)), 0);
	const specification = {payload: '', steps, schedule: undefined};
	return {
		atMs, specification, durationsMs: lengths, objectiveMs: (1.6 * chainMs) + 600, work: getOccurrenceWork(specification),
	};
};

const turnMs = 4500;
const turns = 4;
const burstFactor = 4;
const lullFactor = 0.05;

const drawArrivals = (kind: Kind, {seed, durationMs}: {readonly seed: number; readonly durationMs: number}): readonly Arrival[] => {
	const random = createSeededRandom(seed);
	const arrivals: Arrival[] = [];
	// Thinned from the rate of a burst, so that none is skipped.
	const burstRate = kind.jobsPerSecond * burstFactor;
	for (let atMs = 0; atMs < durationMs; atMs += -Math.log(1 - random()) * 1000 / burstRate) {
		const isBurst = Math.floor(atMs / turnMs) % turns === 1;
		if (isBurst || random() < lullFactor / burstFactor) {
			arrivals.push(drawJob(random, kind, atMs));
		}
	}

	return arrivals;
};

const createMinion = (index: number): MinionRecord => ({
	life: createIncarnationId(toBrand<MinionId>(`i-${index}`), 1),
	minion: toBrand<MinionId>(`i-${index}`),
	bornAtMs: 1,
	address: `10.0.0.${index}:80`,
	worker: toBrand<WorkerId>(`worker-${index}`),
	pool,
	dataCentre: toBrand<DataCentreId>('dc'),
	rack: undefined,
	labels: [],
	capacity: {cpuMillicores: machineMillicores, memoryMb: 1e9, gpus: 0},
});

type Running = {
	readonly assignment: RunAssignment;
	readonly endsAtMs: number;
};

type Pending = {
	readonly arrival: Arrival;
	readonly index: number;
	readonly dueAtMs: number;
	readonly triesLeft: number;
};

const getWorth = (arrival: Arrival, meanWork: number) => Math.min(4, 0.3 + (0.7 * arrival.work / meanWork));

const runPool = (arrivals: readonly Arrival[], policy: Policy, {seed, machines}: {readonly seed: number; readonly machines: number}) => {
	const random = createSeededRandom(seed + 1);
	const ledger: Ledger = createLedger();
	const minions = Array.from({length: machines}, (_, index) => createMinion(index));
	for (const record of minions) {
		applyLedgerCommand(ledger, {type: 'minion/joined', term: 0, record}, () => undefined);
	}

	let pending: Pending[] = arrivals.map((arrival, index) => ({
		arrival, index, dueAtMs: arrival.atMs, triesLeft: callerTries,
	}));
	let running: Running[] = [];
	const ends = new Map<number, number>();
	const millicores = machines * machineMillicores;
	const getId = (index: number) => toBrand<JobId>(index.toString(16).padStart(16, '0'));

	const submit = ({arrival, index, triesLeft}: Pending, nowMs: number): Pending | undefined => {
		const workAhead = measureWorkAhead(ledger, {pool, work: arrival.work, nowMs});
		const queuePolicy = {stretchFactor: 1.6, startLatencyMs: 600};
		const admission = admitJob(arrival.specification, queuePolicy, {
			cpuMillicores: millicores, workAhead, largestMinion: undefined, parallelismLimit: {poolMillicores: millicores, teamMillicores: 0},
		}, policy.latestOverObjective);
		if (admission.type === 'accepted') {
			applyLedgerCommand(ledger, {
				type: 'job/accepted',
				term: 0,
				job: {
					...queuePolicy, id: getId(index), queue: toBrand<QueueId>('q'), pool, team: undefined, priority: 0, maximumAttempts: 4, advice: undefined, specification: arrival.specification, acceptedAtMs: nowMs,
				},
			}, () => undefined);
			return undefined;
		}

		const dueAtMs = nowMs + (Math.ceil(admission.retryAfterMs / 1000) * 1000);
		return triesLeft > 1 && dueAtMs < arrival.atMs + callerPatienceMs
			? {
				arrival, index, dueAtMs, triesLeft: triesLeft - 1,
			}
			: undefined;
	};

	const start = (nowMs: number) => {
		const runs = planStarts({
			ledger,
			nowMs,
			minions: minions.map(record => ({
				record, runBound: Number.POSITIVE_INFINITY, isLeavingSoon: false, isSuspect: false,
			})),
			isAllowed: () => true,
			getAvoidedIncarnations: () => undefined,
			copies: [],
			compare: policy.compare,
		});
		applyLedgerCommand(ledger, {type: 'runs/assigned', term: 0, runs}, () => undefined);
		for (const assignment of runs) {
			const [job = '', , step = ''] = assignment.task.split('.');
			const arrival = arrivals[Number.parseInt(job, 16)];
			const lengthMs = (arrival?.durationsMs[Number(step)] ?? 0) * (0.7 + (random() * 0.6));
			running.push({assignment, endsAtMs: nowMs + lengthMs});
		}
	};

	const finish = (nowMs: number) => {
		const over = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
		if (over.length === 0) {
			return;
		}

		running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
		const jobs = new Set<Job>();
		for (const {assignment: {task}} of over) {
			const job = ledger.jobs.get(toBrand<JobId>(task.slice(0, task.indexOf('.'))));
			if (job !== undefined) {
				jobs.add(job);
			}
		}

		applyLedgerCommand(ledger, {
			type: 'runs/ended', term: 0, atMs: nowMs, ends: over.map(({assignment}) => ({...assignment, ending: 'done' as const, checkpoint: ''})),
		}, () => undefined);
		for (const job of jobs) {
			if (job.status === 'completed') {
				ends.set(Number.parseInt(job.id, 16), nowMs);
			}
		}
	};

	const lastMs = (arrivals.at(-1)?.atMs ?? 0) + 20_000;
	for (let nowMs = 0; nowMs < lastMs; nowMs += tickMs) {
		finish(nowMs);
		const due = pending.filter(({dueAtMs}) => dueAtMs <= nowMs);
		if (due.length > 0) {
			pending = [...pending.filter(({dueAtMs}) => dueAtMs > nowMs), ...due.map(entry => submit(entry, nowMs)).filter(entry => entry !== undefined)];
		}

		start(nowMs);
	}

	return ends;
};

const measure = (arrivals: readonly Arrival[], ends: ReadonlyMap<number, number>) => {
	const meanWork = arrivals.reduce((sum, {work}) => sum + work, 0) / Math.max(1, arrivals.length);
	const cut = arrivals.map(({work}) => work).toSorted((left, right) => right - left)[Math.floor(arrivals.length / 10)] ?? 0;
	let owed = 0;
	let earned = 0;
	let inTime = 0;
	let largest = 0;
	let largestInTime = 0;
	for (const [index, arrival] of arrivals.entries()) {
		const worth = getWorth(arrival, meanWork);
		const tookMs = (ends.get(index) ?? Number.POSITIVE_INFINITY) - arrival.atMs;
		owed += worth;
		if (tookMs <= arrival.objectiveMs) {
			earned += worth;
			inTime += 1;
		} else if (tookMs <= arrival.objectiveMs * lateFactor) {
			earned += worth * lateShare;
		}

		if (arrival.work >= cut) {
			largest += 1;
			largestInTime += Number(tookMs <= arrival.objectiveMs * lateFactor);
		}
	}

	return {
		earned: earned / owed, inTime: inTime / arrivals.length, largest: largestInTime / Math.max(1, largest),
	};
};

// Nobody earns more than the best worth a core-second that the pool has while work is there for it.
const getUpperBound = (arrivals: readonly Arrival[], machines: number) => {
	const meanWork = arrivals.reduce((sum, {work}) => sum + work, 0) / Math.max(1, arrivals.length);
	const owed = arrivals.reduce((sum, arrival) => sum + getWorth(arrival, meanWork), 0);
	const byDensity = arrivals.toSorted((left, right) => (getWorth(right, meanWork) / right.work) - (getWorth(left, meanWork) / left.work));
	const longestObjectiveMs = Math.max(...arrivals.map(({objectiveMs}) => objectiveMs));
	const bursts = new Map<number, number>();
	let earned = 0;
	for (const arrival of byDensity) {
		const burst = Math.floor(arrival.atMs / (turnMs * turns));
		const left = bursts.get(burst) ?? (turnMs + longestObjectiveMs) * machines * machineMillicores;
		if (left >= arrival.work) {
			bursts.set(burst, left - arrival.work);
			earned += getWorth(arrival, meanWork);
		}
	}

	return earned / owed;
};

const format = (share: number) => share.toFixed(3);

const rows = kinds.flatMap(kind => [8, 14].flatMap(machines => {
	const seeds = [1, 2, 3];
	const traces = seeds.map(seed => drawArrivals(kind, {seed, durationMs: 54_000}));
	const bound = traces.reduce((sum, arrivals) => sum + getUpperBound(arrivals, machines), 0) / seeds.length;
	return policies.map(policy => {
		const results = traces.map((arrivals, index) => measure(arrivals, runPool(arrivals, policy, {seed: seeds[index] ?? 0, machines})));
		const mean = (key: 'earned' | 'inTime' | 'largest') => results.reduce((sum, result) => sum + result[key], 0) / results.length;
		return [kind.name, machines, policy.name, format(mean('earned')), format(mean('earned') / bound), format(mean('inTime')), format(mean('largest'))];
	});
}));

process.stdout.write(`${formatTable([['kind', 'machines', 'order and admission', 'worth earned', 'of the bound', 'in time', 'largest tenth served'], ...rows])}\n`);

