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
const millicoresPerMachine = 32_000;
const tickMs = 10;
const lateValueFraction = 0.07;
const maximumLateFactor = 3;
const callerTimeoutMs = 3000;
const callerAttempts = 5;

/** A kind of job. */
type JobKind = {
	readonly name: string;
	readonly jobsPerSecond: number;
	readonly stepsPerJob: number;
	readonly tasksPerStep: number;
	readonly taskMs: number;
	readonly millicores: number;
};

const jobKinds: readonly JobKind[] = [
	{
		name: 'reservations', jobsPerSecond: 8, stepsPerJob: 1.6, tasksPerStep: 6, taskMs: 640, millicores: 1800,
	},
	{
		name: 'reservations, twice the load', jobsPerSecond: 16, stepsPerJob: 1.6, tasksPerStep: 6, taskMs: 640, millicores: 1800,
	},
	{
		name: 'contracts', jobsPerSecond: 0.8, stepsPerJob: 2, tasksPerStep: 8, taskMs: 2100, millicores: 3800,
	},
	{
		name: 'contracts, twice the load', jobsPerSecond: 1.6, stepsPerJob: 2, tasksPerStep: 8, taskMs: 2100, millicores: 3800,
	},
];

/** A way to order and to admit. */
type Policy = {
	readonly name: string;
	readonly compare: CompareReadySteps;
	/** A job is refused when it is expected later than this many times its objective. */
	readonly latestOverObjective: number;
};

const compareLateness: CompareReadySteps = (left, right) => Number(left.isLate) - Number(right.isLate);

const compareStartedThenSmallest: CompareReadySteps = (left, right) => compareLateness(left, right)
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| left.work - right.work;

const compareStartedBySlack: CompareReadySteps = (left, right) => compareLateness(left, right)
	|| Number(right.hasStarted) - Number(left.hasStarted)
	|| (left.hasStarted ? left.slackMs - right.slackMs : left.work - right.work);

const policies: readonly Policy[] = [
	{name: 'first come, first served, all taken', compare: (left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs, latestOverObjective: Number.POSITIVE_INFINITY},
	{name: 'least slack, 2.0', compare: (left, right) => compareLateness(left, right) || left.slackMs - right.slackMs, latestOverObjective: 2},
	{name: 'least slack, 1.0', compare: (left, right) => compareLateness(left, right) || left.slackMs - right.slackMs, latestOverObjective: 1},
	...[1, 1.5, 2, 3, 5].map(latestOverObjective => ({name: `begun, smallest, ${latestOverObjective}`, compare: compareStartedThenSmallest, latestOverObjective})),
	...[1.5, 3].map(latestOverObjective => ({name: `begun by slack, smallest, ${latestOverObjective}`, compare: compareStartedBySlack, latestOverObjective})),
];

type Arrival = {
	readonly atMs: number;
	readonly specification: JobSpecification;
	readonly durationsMs: readonly number[];
	readonly objectiveMs: number;
	readonly work: number;
};

const drawLogNormal = (random: RandomSource, {mean, spread, most: maximum}: {readonly mean: number; readonly spread: number; readonly most: number}) => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.min(maximum, Math.exp((spread * normal) + Math.log(mean) - (spread * spread / 2)));
};

const drawArrival = (random: RandomSource, kind: JobKind, atMs: number): Arrival => {
	const stepCount = Math.max(1, Math.round(drawLogNormal(random, {mean: kind.stepsPerJob, spread: 0.4, most: 5})));
	const taskDurationsMs: number[] = [];
	const steps = Array.from({length: stepCount}, (_, index) => {
		const lengthMs = drawLogNormal(random, {mean: kind.taskMs, spread: 0.5, most: kind.taskMs * 2.5});
		taskDurationsMs.push(lengthMs);
		return {
			...plainStep,
			count: Math.max(1, Math.round(drawLogNormal(random, {mean: kind.tasksPerStep, spread: 0.6, most: kind.tasksPerStep * 4}))),
			request: {cpuMillicores: Math.round(drawLogNormal(random, {mean: kind.millicores, spread: 0.45, most: kind.millicores * 3})), memoryMb: 1, gpus: 0},
			estimateMs: lengthMs * Math.exp(0.2 * ((random() * 2) - 1)),
			dependsOn: index === 0 ? [] : [index - 1],
		};
	});
	const roundCounts = steps.map(({count, request}) => Math.max(1, Math.ceil(count * request.cpuMillicores / (8 * millicoresPerMachine / 4))));
	const criticalPathMs = taskDurationsMs.reduce((sum, lengthMs, index) => sum + (lengthMs * (roundCounts[index] ?? 1)), 0);
	const specification = {payload: '', steps, schedule: undefined};
	return {
		atMs, specification, durationsMs: taskDurationsMs, objectiveMs: (1.6 * criticalPathMs) + 600, work: getOccurrenceWork(specification),
	};
};

const phaseDurationMs = 4500;
const phasesPerCycle = 4;
const burstFactor = 4;
const quietFactor = 0.05;

const drawArrivals = (kind: JobKind, {seed, durationMs}: {readonly seed: number; readonly durationMs: number}): readonly Arrival[] => {
	const random = createSeededRandom(seed);
	const arrivals: Arrival[] = [];
	// Thinned from the rate of a burst, so that none is skipped.
	const burstRate = kind.jobsPerSecond * burstFactor;
	for (let atMs = 0; atMs < durationMs; atMs += -Math.log(1 - random()) * 1000 / burstRate) {
		const isBurst = Math.floor(atMs / phaseDurationMs) % phasesPerCycle === 1;
		if (isBurst || random() < quietFactor / burstFactor) {
			arrivals.push(drawArrival(random, kind, atMs));
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
	capacity: {cpuMillicores: millicoresPerMachine, memoryMb: 1e9, gpus: 0},
});

type RunningTask = {
	readonly assignment: RunAssignment;
	readonly endsAtMs: number;
};

type PendingSubmission = {
	readonly arrival: Arrival;
	readonly index: number;
	readonly dueAtMs: number;
	readonly attemptsLeft: number;
};

const getJobValue = (arrival: Arrival, meanWork: number) => Math.min(4, 0.3 + (0.7 * arrival.work / meanWork));

const simulatePool = (arrivals: readonly Arrival[], policy: Policy, {seed, machines}: {readonly seed: number; readonly machines: number}) => {
	const random = createSeededRandom(seed + 1);
	const ledger: Ledger = createLedger();
	const minions = Array.from({length: machines}, (_, index) => createMinion(index));
	for (const record of minions) {
		applyLedgerCommand(ledger, {type: 'minion/joined', term: 0, record}, () => undefined);
	}

	let pending: PendingSubmission[] = arrivals.map((arrival, index) => ({
		arrival, index, dueAtMs: arrival.atMs, triesLeft: callerAttempts,
	}));
	let running: RunningTask[] = [];
	const ends = new Map<number, number>();
	const millicores = machines * millicoresPerMachine;
	const getId = (index: number) => toBrand<JobId>(index.toString(16).padStart(16, '0'));

	const submitJob = ({arrival, index, attemptsLeft: triesLeft}: PendingSubmission, nowMs: number): PendingSubmission | undefined => {
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
		return triesLeft > 1 && dueAtMs < arrival.atMs + callerTimeoutMs
			? {
				arrival, index, dueAtMs, attemptsLeft: triesLeft - 1,
			}
			: undefined;
	};

	const startRuns = (nowMs: number) => {
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

	const endRuns = (nowMs: number) => {
		const endedRuns = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
		if (endedRuns.length === 0) {
			return;
		}

		running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
		const jobs = new Set<Job>();
		for (const {assignment: {task}} of endedRuns) {
			const job = ledger.jobs.get(toBrand<JobId>(task.slice(0, task.indexOf('.'))));
			if (job !== undefined) {
				jobs.add(job);
			}
		}

		applyLedgerCommand(ledger, {
			type: 'runs/ended', term: 0, atMs: nowMs, ends: endedRuns.map(({assignment}) => ({...assignment, ending: 'done' as const, checkpoint: ''})),
		}, () => undefined);
		for (const job of jobs) {
			if (job.status === 'completed') {
				ends.set(Number.parseInt(job.id, 16), nowMs);
			}
		}
	};

	const lastMs = (arrivals.at(-1)?.atMs ?? 0) + 20_000;
	for (let nowMs = 0; nowMs < lastMs; nowMs += tickMs) {
		endRuns(nowMs);
		const dueSubmissions = pending.filter(({dueAtMs}) => dueAtMs <= nowMs);
		if (dueSubmissions.length > 0) {
			pending = [...pending.filter(({dueAtMs}) => dueAtMs > nowMs), ...dueSubmissions.map(entry => submitJob(entry, nowMs)).filter(entry => entry !== undefined)];
		}

		startRuns(nowMs);
	}

	return ends;
};

const measure = (arrivals: readonly Arrival[], ends: ReadonlyMap<number, number>) => {
	const meanWork = arrivals.reduce((sum, {work}) => sum + work, 0) / Math.max(1, arrivals.length);
	const largestTenthMinimumWork = arrivals.map(({work}) => work).toSorted((left, right) => right - left)[Math.floor(arrivals.length / 10)] ?? 0;
	let totalValue = 0;
	let earned = 0;
	let inTimeCount = 0;
	let largestCount = 0;
	let largestServedCount = 0;
	for (const [index, arrival] of arrivals.entries()) {
		const jobValue = getJobValue(arrival, meanWork);
		const tookMs = (ends.get(index) ?? Number.POSITIVE_INFINITY) - arrival.atMs;
		totalValue += jobValue;
		if (tookMs <= arrival.objectiveMs) {
			earned += jobValue;
			inTimeCount += 1;
		} else if (tookMs <= arrival.objectiveMs * maximumLateFactor) {
			earned += jobValue * lateValueFraction;
		}

		if (arrival.work >= largestTenthMinimumWork) {
			largestCount += 1;
			largestServedCount += Number(tookMs <= arrival.objectiveMs * maximumLateFactor);
		}
	}

	return {
		earned: earned / totalValue, inTime: inTimeCount / arrivals.length, largest: largestServedCount / Math.max(1, largestCount),
	};
};

// Nobody earns more than the best worth a core-second that the pool has while work is there for it.
const getUpperBound = (arrivals: readonly Arrival[], machines: number) => {
	const meanWork = arrivals.reduce((sum, {work}) => sum + work, 0) / Math.max(1, arrivals.length);
	const owed = arrivals.reduce((sum, arrival) => sum + getJobValue(arrival, meanWork), 0);
	const byDensity = arrivals.toSorted((left, right) => (getJobValue(right, meanWork) / right.work) - (getJobValue(left, meanWork) / left.work));
	const longestObjectiveMs = Math.max(...arrivals.map(({objectiveMs}) => objectiveMs));
	const bursts = new Map<number, number>();
	let earned = 0;
	for (const arrival of byDensity) {
		const burst = Math.floor(arrival.atMs / (phaseDurationMs * phasesPerCycle));
		const left = bursts.get(burst) ?? (phaseDurationMs + longestObjectiveMs) * machines * millicoresPerMachine;
		if (left >= arrival.work) {
			bursts.set(burst, left - arrival.work);
			earned += getJobValue(arrival, meanWork);
		}
	}

	return earned / owed;
};

const format = (share: number) => share.toFixed(3);

const rows = jobKinds.flatMap(kind => [8, 14].flatMap(machines => {
	const seeds = [1, 2, 3];
	const traces = seeds.map(seed => drawArrivals(kind, {seed, durationMs: 54_000}));
	const bound = traces.reduce((sum, arrivals) => sum + getUpperBound(arrivals, machines), 0) / seeds.length;
	return policies.map(policy => {
		const results = traces.map((arrivals, index) => measure(arrivals, simulatePool(arrivals, policy, {seed: seeds[index] ?? 0, machines})));
		const mean = (key: 'earned' | 'inTime' | 'largest') => results.reduce((sum, result) => sum + result[key], 0) / results.length;
		return [kind.name, machines, policy.name, format(mean('earned')), format(mean('earned') / bound), format(mean('inTime')), format(mean('largest'))];
	});
}));

process.stdout.write(`${formatTable([['kind', 'machines', 'order and admission', 'worth earned', 'of the bound', 'in time', 'largest tenth served'], ...rows])}\n`);

