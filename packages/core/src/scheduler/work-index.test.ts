import {
	toBrand, type JobId, type MinionId, type PoolId, type QueueId, type TeamId, type WorkerId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	applyLedgerCommand, createLedger, createLedgerSnapshot, createIncarnationId, getPoolIndex, getOccurrenceWork, emptyWorkload, listTasks,
	measurePoolWorkload, measureWorkAhead, plainStep, restoreLedger,
	type Job, type Ledger, type IncarnationId, type PoolWorkload, type RunEnding, type StepProgress, type StepSpecification,
} from './index.js';

const pools = ['counter', 'office'].map(name => toBrand<PoolId>(name));
const startMs = 1_700_000_000_000;
const parse = () => undefined;

// The functions below compute the contents of the indexes from the jobs alone.
const isStepReady = (steps: readonly StepProgress[], {dependsOn}: StepSpecification, {idleCount}: StepProgress) =>
	idleCount > 0 && dependsOn.every(earlier => steps[earlier]?.doneCount === steps[earlier]?.tasks.length);

const listDueSteps = (job: Job, nowMs: number) => [...job.occurrences].flatMap(([occurrence, {steps}]) => {
	const {schedule} = job.specification;
	const isDue = schedule === undefined || schedule.firstDueAtMs + (occurrence * schedule.intervalMs) <= nowMs;
	return isDue
		? steps.flatMap((progress, step) => {
			const specification = job.specification.steps[step];
			return specification === undefined
				? []
				: [{
					id: `${job.id}.${occurrence}.${step}`, specification, progress, isReady: isStepReady(steps, specification, progress),
				}];
		})
		: [];
});

const recountJob = (job: Job, nowMs: number): PoolWorkload => {
	let total = emptyWorkload;
	for (const {specification, progress, isReady} of listDueSteps(job, nowMs)) {
		const {count, request: {cpuMillicores}, estimateMs, isLasting, isFiller} = specification;
		const running = count - progress.doneCount - progress.idleCount;
		if (isLasting && !isFiller) {
			total = {...total, longRunningMillicores: total.longRunningMillicores + (count * cpuMillicores), waitingLongRunningCount: total.waitingLongRunningCount + progress.idleCount};
		} else if (!isFiller) {
			total = {
				...total,
				runningMillicores: total.runningMillicores + (running * cpuMillicores),
				readyMillicores: total.readyMillicores + (isReady ? progress.idleCount * cpuMillicores : 0),
				workLeft: total.workLeft + ((progress.idleCount + (running / 2)) * cpuMillicores * estimateMs),
			};
		}
	}

	return total;
};

const sumWorkloads = (parts: readonly PoolWorkload[]): PoolWorkload => {
	const sum = (key: keyof PoolWorkload) => parts.reduce((total, part) => total + part[key], 0);
	return {
		longRunningMillicores: sum('longRunningMillicores'), waitingLongRunningCount: sum('waitingLongRunningCount'), runningMillicores: sum('runningMillicores'), readyMillicores: sum('readyMillicores'), workLeft: sum('workLeft'),
	};
};

const probedWorks = [0, 2_000_000, 12_000_000, Number.POSITIVE_INFINITY];

const recount = (ledger: Ledger, pool: PoolId, nowMs: number) => {
	const jobs = [...ledger.activeJobs].filter(job => job.pool === pool);
	return {
		workload: sumWorkloads(jobs.map(job => recountJob(job, nowMs))),
		ready: jobs.flatMap(job => listDueSteps(job, nowMs)).filter(({isReady}) => isReady).map(({id}) => id).toSorted(),
		workAhead: probedWorks.map(work => sumWorkloads(jobs.filter(job => job.hasStarted || getOccurrenceWork(job.specification) <= work).map(job => recountJob(job, nowMs))).workLeft),
	};
};

const read = (ledger: Ledger, pool: PoolId, nowMs: number) => ({
	workload: {...measurePoolWorkload(ledger, pool, nowMs)},
	ready: [...getPoolIndex(ledger.index, pool).ready].map(({job, occurrence, step}) => `${job.id}.${occurrence}.${step}`).toSorted(),
	workAhead: probedWorks.map(work => measureWorkAhead(ledger, {pool, work, nowMs})),
});

const recountEnded = ({jobs}: Ledger) => ({
	endedWithRuns: [...jobs.values()].filter(({status, runCount}) => status !== 'active' && runCount > 0).map(({id}) => id).toSorted(),
	doneWithRuns: [...jobs.values()].flatMap(job => listTasks(job)).filter(({isDone, runs}) => isDone && runs.length > 0).map(({id}) => id).toSorted(),
});

const readEnded = ({index}: Ledger) => ({endedWithRuns: [...index.endedWithRuns].toSorted(), doneWithRuns: [...index.doneWithRuns].toSorted()});

type Change = {
	readonly kind: 'accept' | 'assign' | 'end' | 'cancel' | 'leave' | 'join' | 'restore';
	readonly choice: number;
	readonly ending: RunEnding;
	readonly steps: ReadonlyArray<Partial<StepSpecification>>;
	readonly isScheduled: boolean;
};

const stepArbitrary = fc.record({
	count: fc.integer({min: 1, max: 3}),
	isLasting: fc.boolean(),
	isFiller: fc.constantFrom(false, false, true),
	allowsCopies: fc.boolean(),
	isGang: fc.constantFrom(false, false, true),
	estimateMs: fc.integer({min: 100, max: 2000}),
});

const changes = fc.array(fc.record({
	kind: fc.constantFrom('accept' as const, 'assign' as const, 'assign' as const, 'end' as const, 'end' as const, 'end' as const, 'cancel' as const, 'leave' as const, 'join' as const, 'restore' as const),
	choice: fc.nat(),
	ending: fc.constantFrom('done' as const, 'done' as const, 'failed' as const, 'lapsed' as const, 'stopped' as const),
	steps: fc.array(stepArbitrary, {minLength: 1, maxLength: 3}),
	isScheduled: fc.constantFrom(false, false, true),
}), {minLength: 5, maxLength: 80});

const choose = <Value>(values: readonly Value[], choice: number): Value | undefined => values[choice % Math.max(1, values.length)];

const createHistory = () => {
	let ledger = createLedger();
	let nextName = 1;
	const apply = (command: Parameters<typeof applyLedgerCommand>[1]) => {
		applyLedgerCommand(ledger, command, parse);
	};

	const takeName = () => {
		nextName += 1;
		return nextName.toString(16).padStart(16, '0');
	};

	const listRuns = () => [...ledger.incarnations.values()].flatMap(({record, runs}) => [...runs].map(([task, run]) => ({task, run, life: record.life})));

	const accept = ({choice, steps, isScheduled}: Change, nowMs: number) => {
		apply({
			type: 'job/accepted',
			term: 0,
			job: {
				id: toBrand<JobId>(takeName()), queue: toBrand<QueueId>('q'), pool: pools[choice % 2] ?? toBrand('counter'), team: choice % 3 === 0 ? toBrand<TeamId>('parish') : undefined, priority: 0, maximumAttempts: 2, stretchFactor: 1.6, startLatencyMs: 600, advice: undefined, acceptedAtMs: nowMs,
				specification: {
					payload: '',
					schedule: isScheduled ? {firstDueAtMs: nowMs + 300, intervalMs: 500, count: 3} : undefined,
					steps: steps.map((step, index) => ({
						...plainStep, request: {cpuMillicores: 1000, memoryMb: 1, gpus: 0}, dependsOn: index > 0 && choice % 2 === 0 ? [index - 1] : [], ...step,
					})),
				},
			},
		});
	};

	const join = ({choice}: Change) => {
		const minion = toBrand<MinionId>(takeName());
		apply({
			type: 'minion/joined',
			term: 0,
			record: {
				life: createIncarnationId(minion, 1), minion, bornAtMs: 1, address: `${minion}:80`, worker: toBrand<WorkerId>(minion), pool: pools[choice % 2] ?? toBrand('counter'), dataCentre: toBrand('dc'), rack: undefined, labels: [], capacity: {cpuMillicores: 8000, memoryMb: 10_000, gpus: 0},
			},
		});
	};

	const assign = ({choice}: Change) => {
		const tasks = [...ledger.activeJobs].flatMap(job => listTasks(job)).filter(({isDone}) => !isDone);
		const task = choose(tasks, choice);
		const life = choose<IncarnationId>([...ledger.incarnations.keys()], choice);
		if (task !== undefined && life !== undefined && task.runs.every(run => run.life !== life)) {
			apply({type: 'runs/assigned', term: 0, runs: [{task: task.id, run: task.lastRunNumber + 1, life}]});
		}
	};

	const end = ({choice, ending}: Change, nowMs: number) => {
		const run = choose(listRuns(), choice);
		if (run !== undefined) {
			apply({
				type: 'runs/ended', term: 0, atMs: nowMs, ends: [{...run, ending, checkpoint: ''}],
			});
		}
	};

	const cancel = ({choice}: Change, nowMs: number) => {
		const job = choose([...ledger.activeJobs], choice);
		if (job !== undefined) {
			apply({type: 'job/cancelled', id: job.id, atMs: nowMs});
		}
	};

	const leave = ({choice}: Change) => {
		const life = choose<IncarnationId>([...ledger.incarnations.keys()], choice);
		if (life !== undefined) {
			apply({type: 'minion/left', term: 0, life});
		}
	};

	const restore = () => {
		ledger = restoreLedger(createLedgerSnapshot(ledger), parse);
	};

	const actions: Readonly<Record<Change['kind'], (change: Change, nowMs: number) => void>> = {
		accept, assign, end, cancel, leave, join, restore,
	};

	const applyChange = (change: Change, nowMs: number) => {
		actions[change.kind](change, nowMs);
	};

	return {applyChange, getLedger: () => ledger};
};

test('after every change the indexes equal a recount of the jobs', () => {
	fc.assert(fc.property(changes, planned => {
		const history = createHistory();
		let nowMs = startMs;
		for (const change of planned) {
			nowMs += 100;
			history.applyChange(change, nowMs);
			const ledger = history.getLedger();
			for (const pool of pools) {
				expect(read(ledger, pool, nowMs)).toEqual(recount(ledger, pool, nowMs));
			}

			expect(readEnded(ledger)).toEqual(recountEnded(ledger));
		}
	}), {numRuns: 150, seed: 20_261_204});
});

test('the change count of a pool goes up with new capacity, new work and freed capacity, and not with an assignment or changes of other pools', () => {
	const history = createHistory();
	const baseChange: Change = {
		kind: 'accept', choice: 0, ending: 'done', steps: [{count: 1}], isScheduled: false,
	};
	const count = (pool: number) => getPoolIndex(history.getLedger().index, pools[pool] ?? toBrand('counter')).changeCount;
	const changed = (['join', 'accept', 'assign', 'end'] as const).map(kind => {
		const before = [count(0), count(1)];
		history.applyChange({...baseChange, kind}, startMs);
		return {kind, own: count(0) > (before[0] ?? 0), other: count(1) > (before[1] ?? 0)};
	});
	expect(changed).toEqual([
		{kind: 'join', own: true, other: false},
		{kind: 'accept', own: true, other: false},
		{kind: 'assign', own: false, other: false},
		{kind: 'end', own: true, other: false},
	]);
});
