import {toBrand, type TeamId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {applyLedgerCommand} from '../apply-ledger-command.js';
import {
	createLedger, findTask, getStep, listTasks,
} from '../ledger.js';
import {planStarts} from '../plan-starts.js';
import {
	addResources, createResources, fitsInto, getReservedResources,
} from '../resources.js';
import {addTestJob, addTestMinion, testNowMs} from '../test-fleet.js';
import type {
	FleetConfiguration, IncarnationId, Ledger, LedgerCommand, RunAssignment, StepSpecification, Task, TaskId,
} from '../types.js';

const parse = (): undefined => undefined;
const team = toBrand<TeamId>('parish');

const apply = (ledger: Ledger, command: LedgerCommand) => applyLedgerCommand(ledger, command, parse);

const toAssignment = (text: string): RunAssignment => {
	const [task = '', run = '', minion = ''] = text.split(/[#@]/v);
	return {task: toBrand<TaskId>(`${'0'.repeat(15)}${task}`), run: Number(run), life: toBrand<IncarnationId>(`${minion}@1`)};
};

const formatAssignment = ({task, run, life}: RunAssignment) => `${task.slice(15)}#${run}@${life.replace('@1', '')}`;

const assign = (ledger: Ledger, texts: readonly string[], {isEarlierVersion = false} = {}) => {
	const outcome = apply(ledger, {
		type: 'runs/assigned', term: 0, runs: texts.map(text => toAssignment(text)), ...(!isEarlierVersion && {keepsLimits: true}),
	});
	return outcome.type === 'assigned'
		? {assigned: outcome.runs.map(run => formatAssignment(run)), refused: outcome.refused.map(run => `${formatAssignment(run)} ${run.reason}`)}
		: outcome;
};

const createFleet = (step: Partial<StepSpecification>, minions = ['i-1', 'i-2']) => {
	const ledger = createLedger();
	for (const minion of minions) {
		addTestMinion(ledger, minion);
	}

	addTestJob(ledger, 'a', step);
	return ledger;
};

test('the maximum of a step on a minion is held among the assignments of one command', () => {
	const ledger = createFleet({count: 3, maximumPerMinion: 1});
	expect(assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-1', 'a.0.0.2#1@i-2'])).toMatchInlineSnapshot(`
		{
		  "assigned": [
		    "a.0.0.0#1@i-1",
		    "a.0.0.2#1@i-2",
		  ],
		  "refused": [
		    "a.0.0.1#1@i-1 spread",
		  ],
		}
	`);
});

test('copies count towards the maximum of their step on a minion', () => {
	const ledger = createFleet({count: 2, maximumPerMinion: 1, allowsCopies: true}, ['i-1', 'i-2', 'i-3']);
	assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-2']);
	expect(assign(ledger, ['a.0.0.0#2@i-3', 'a.0.0.1#2@i-3'])).toMatchInlineSnapshot(`
		{
		  "assigned": [
		    "a.0.0.0#2@i-3",
		  ],
		  "refused": [
		    "a.0.0.1#2@i-3 spread",
		  ],
		}
	`);
});

test('a copy is not assigned beside the run that it copies, and a task gets no third run', () => {
	const ledger = createFleet({count: 1, allowsCopies: true}, ['i-1', 'i-2', 'i-3']);
	expect({
		beside: assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.0#2@i-1']),
		third: assign(ledger, ['a.0.0.0#3@i-2', 'a.0.0.0#4@i-3']),
	}).toMatchInlineSnapshot(`
		{
		  "beside": {
		    "assigned": [
		      "a.0.0.0#1@i-1",
		    ],
		    "refused": [
		      "a.0.0.0#2@i-1 otherCopy",
		    ],
		  },
		  "third": {
		    "assigned": [
		      "a.0.0.0#3@i-2",
		    ],
		    "refused": [
		      "a.0.0.0#4@i-3 copies",
		    ],
		  },
		}
	`);
});

test('a minion that has shrunk or was filled since the plan takes no more than it has room for', () => {
	const ledger = createFleet({count: 5});
	apply(ledger, {
		type: 'minion/resized', term: 0, life: toBrand<IncarnationId>('i-1@1'), capacity: {cpuMillicores: 4000, memoryMb: 10_000, gpus: 0},
	});
	expect(assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-1', 'a.0.0.2#1@i-1'])).toMatchInlineSnapshot(`
		{
		  "assigned": [
		    "a.0.0.0#1@i-1",
		    "a.0.0.1#1@i-1",
		  ],
		  "refused": [
		    "a.0.0.2#1@i-1 capacity",
		  ],
		}
	`);
});

test('a minion that drains or has left, another pool\'s minion and one without the label take nothing', () => {
	const ledger = createFleet({count: 4, requiredLabel: 'ssd'}, ['i-1', 'i-2']);
	const {record} = addTestMinion(createLedger(), 'i-3');
	apply(ledger, {type: 'minion/joined', term: 0, record: {...record, pool: toBrand('bakery')}});
	apply(ledger, {type: 'minion/draining', term: 0, life: toBrand<IncarnationId>('i-2@1')});
	expect(assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-2', 'a.0.0.2#1@i-3', 'a.0.0.3#1@i-4'])).toMatchInlineSnapshot(`
		{
		  "assigned": [],
		  "refused": [
		    "a.0.0.0#1@i-1 label",
		    "a.0.0.1#1@i-2 draining",
		    "a.0.0.2#1@i-3 pool",
		    "a.0.0.3#1@i-4 minionLeft",
		  ],
		}
	`);
});

const limitTeam = (ledger: Ledger, cpuMillicores: number) => {
	const configuration: FleetConfiguration = {
		version: 1, queues: [], pools: [], teams: [{
			team, keys: [], weight: 1, maximum: {cpuMillicores, memoryMb: 0, gpus: 0},
		}], limits: {
			maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
	applyLedgerCommand(ledger, {type: 'configuration/replaced', document: '{}'}, () => configuration);
};

const addTeamJob = (ledger: Ledger, name: string, step: Partial<StepSpecification>) => {
	const source = createLedger();
	const id = addTestJob(source, name, step);
	const job = source.jobs.get(id);
	if (job !== undefined) {
		apply(ledger, {type: 'job/accepted', term: 0, job: {...job, team}});
	}

	return id;
};

test('the maximum of a team that was lowered since the plan is held', () => {
	const ledger = createFleet({count: 1});
	addTeamJob(ledger, 'b', {count: 3});
	limitTeam(ledger, 4000);
	expect(assign(ledger, ['b.0.0.0#1@i-1', 'b.0.0.1#1@i-1', 'b.0.0.2#1@i-2'])).toMatchInlineSnapshot(`
		{
		  "assigned": [
		    "b.0.0.0#1@i-1",
		    "b.0.0.1#1@i-1",
		  ],
		  "refused": [
		    "b.0.0.2#1@i-2 team",
		  ],
		}
	`);
});

test('a gang of which one member is refused does not start, and takes no room', () => {
	const ledger = createFleet({count: 2, isGang: true});
	const refused = assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-9']);
	expect({
		refused,
		used: {...ledger.incarnations.get(toBrand<IncarnationId>('i-1@1'))?.used},
		hasStarted: [...ledger.activeJobs].map(({hasStarted}) => hasStarted),
		again: assign(ledger, ['a.0.0.0#2@i-1', 'a.0.0.1#2@i-2']),
	}).toMatchInlineSnapshot(`
		{
		  "again": {
		    "assigned": [
		      "a.0.0.0#2@i-1",
		      "a.0.0.1#2@i-2",
		    ],
		    "refused": [],
		  },
		  "hasStarted": [
		    false,
		  ],
		  "refused": {
		    "assigned": [],
		    "refused": [
		      "a.0.0.1#1@i-9 minionLeft",
		      "a.0.0.0#1@i-1 gang",
		    ],
		  },
		  "used": {
		    "cpuMillicores": 0,
		    "gpus": 0,
		    "memoryMb": 0,
		  },
		}
	`);
});

test('entries of earlier versions, which promise no limits, are applied as they were', () => {
	const ledger = createFleet({count: 3, maximumPerMinion: 1});
	expect(assign(ledger, ['a.0.0.0#1@i-1', 'a.0.0.1#1@i-1', 'a.0.0.2#1@i-9'], {isEarlierVersion: true})).toMatchInlineSnapshot(`
		{
		  "assigned": [
		    "a.0.0.0#1@i-1",
		    "a.0.0.1#1@i-1",
		  ],
		  "refused": [
		    "a.0.0.2#1@i-9 minionLeft",
		  ],
		}
	`);
});

type StepDraw = {
	readonly count: number;
	readonly cores: number;
	readonly maximumPerMinion: number | undefined;
	readonly allowsCopies: boolean;
	readonly isGang: boolean;
	readonly isLasting: boolean;
	readonly hasTeam: boolean;
};

const drawStep: fc.Arbitrary<StepDraw> = fc.record({
	count: fc.integer({min: 1, max: 6}),
	cores: fc.integer({min: 1, max: 5}),
	maximumPerMinion: fc.constantFrom(undefined, undefined, 1, 2),
	allowsCopies: fc.boolean(),
	isGang: fc.boolean(),
	isLasting: fc.boolean(),
	hasTeam: fc.boolean(),
});

type Change = {
	readonly kind: 'resize' | 'drain' | 'leave' | 'cancel' | 'lowerTeamMaximum' | 'assignElsewhere' | 'assignBeside';
	readonly index: number;
};

const drawChange: fc.Arbitrary<Change> = fc.record({
	kind: fc.constantFrom<Change['kind']>('resize', 'drain', 'leave', 'cancel', 'lowerTeamMaximum', 'assignElsewhere', 'assignBeside', 'assignBeside'),
	index: fc.integer({min: 0, max: 7}),
});

const minionCount = 5;

const teamMillicores = 18_000;
const loweredTeamMillicores = 9000;

const buildFleet = (steps: readonly StepDraw[]) => {
	const ledger = createLedger();
	limitTeam(ledger, teamMillicores);
	const minions = Array.from({length: minionCount}, (_, index) => addTestMinion(ledger, `i-${index}`));
	for (const [index, {cores, isGang, allowsCopies, hasTeam, ...step}] of steps.entries()) {
		const specification = {
			...step, isGang: isGang && !step.isLasting, allowsCopies: allowsCopies && !isGang && !step.isLasting, request: {cpuMillicores: cores * 1000, memoryMb: 100, gpus: 0},
		};
		if (hasTeam) {
			addTeamJob(ledger, index.toString(16), specification);
		} else {
			addTestJob(ledger, index.toString(16), specification);
		}
	}

	return {ledger, minions};
};

const listAllTasks = (ledger: Ledger) => [...ledger.jobs.values()].flatMap(job => listTasks(job));

const plan = ({ledger, minions}: ReturnType<typeof buildFleet>, hasCopies: boolean) => planStarts({
	ledger,
	nowMs: testNowMs,
	minions: minions.flatMap(minion => {
		const record = ledger.incarnations.get(minion.record.life)?.record;
		return record === undefined ? [] : [{...minion, record}];
	}),
	isAllowed: () => true,
	getWaitMs: () => 0,
	getAvoidedIncarnations: () => undefined,
	copies: hasCopies ? listAllTasks(ledger).filter(task => getStep(task).allowsCopies && task.runs.length === 1) : [],
});

const assignAnother = (ledger: Ledger, task: Task | undefined, life: IncarnationId) => {
	if (task !== undefined) {
		apply(ledger, {
			type: 'runs/assigned', term: 0, runs: [{task: task.id, run: task.lastRunNumber + 1, life}], keepsLimits: true,
		});
	}
};

// Another plan puts a waiting task of the same step on the minion that the stale plan has chosen.
const assignBeside = (ledger: Ledger, planned: RunAssignment | undefined) => {
	const chosen = planned && findTask(ledger, planned.task);
	const others = listAllTasks(ledger).filter(({id, runs, job, step}) => runs.length === 0 && id !== chosen?.id && job === chosen?.job && step === chosen.step);
	if (planned !== undefined) {
		assignAnother(ledger, others.at(-1), planned.life);
	}
};

const change = (ledger: Ledger, {kind, index}: Change, stale: readonly RunAssignment[]) => {
	const life = toBrand<IncarnationId>(`i-${index % minionCount}@1`);
	switch (kind) {
		case 'resize': {
			apply(ledger, {
				type: 'minion/resized', term: 0, life, capacity: {cpuMillicores: 1000 * index, memoryMb: 10_000, gpus: 0},
			});
			break;
		}

		case 'drain': {
			apply(ledger, {type: 'minion/draining', term: 0, life});
			break;
		}

		case 'leave': {
			apply(ledger, {type: 'minion/left', term: 0, life});
			break;
		}

		case 'cancel': {
			const job = [...ledger.activeJobs][index];
			if (job !== undefined) {
				apply(ledger, {type: 'job/cancelled', id: job.id, atMs: testNowMs});
			}

			break;
		}

		case 'lowerTeamMaximum': {
			limitTeam(ledger, loweredTeamMillicores);
			break;
		}

		case 'assignElsewhere': {
			assignAnother(ledger, listAllTasks(ledger).filter(({runs}) => runs.length === 0)[index], life);
			break;
		}

		case 'assignBeside': {
			assignBeside(ledger, stale[index % Math.max(1, stale.length)]);
		}
	}
};

const commit = (ledger: Ledger, runs: readonly RunAssignment[]) => {
	const outcome = apply(ledger, {
		type: 'runs/assigned', term: 0, runs, keepsLimits: true,
	});
	if (outcome.type !== 'assigned') {
		throw new Error(`the command was ${outcome.type}`);
	}

	return outcome;
};

const getTeamMaximum = ({configuration}: Ledger) => ({cpuMillicores: configuration?.teams[0]?.maximum.cpuMillicores ?? 0, memoryMb: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY});

// Counted from the tasks alone, by none of the functions that decide.
const listBrokenLimits = (ledger: Ledger, started: readonly RunAssignment[]): readonly string[] => started.flatMap(({task: id, life}) => {
	const task = findTask(ledger, id);
	const usage = ledger.incarnations.get(life);
	if (task === undefined || usage === undefined) {
		return [`${id} is not there`];
	}

	const step = getStep(task);
	const runsThere = listAllTasks(ledger).flatMap(other => other.runs.filter(run => run.life === life).map(() => other));
	const used = createResources();
	for (const other of runsThere) {
		addResources(used, getReservedResources(getStep(other)), 1);
	}

	const usedByTeam = createResources();
	for (const other of listAllTasks(ledger).filter(({job}) => job.team === team)) {
		addResources(usedByTeam, getStep(other).request, other.runs.length);
	}

	const ofStep = runsThere.filter(other => other.job === task.job && other.step === task.step && other.occurrence === task.occurrence).length;
	const gang = step.isGang ? listAllTasks(ledger).filter(({job, step: position}) => job === task.job && position === task.step) : [];
	return [
		...(ofStep > (step.maximumPerMinion ?? Number.POSITIVE_INFINITY) ? [`${id}: ${ofStep} of its step on ${life}`] : []),
		...(fitsInto(usage.record.capacity, used) ? [] : [`${id}: no room on ${life}`]),
		...(task.job.team === undefined || fitsInto(getTeamMaximum(ledger), usedByTeam) ? [] : [`${id}: team at ${usedByTeam.cpuMillicores}`]),
		...(task.runs.length > (step.allowsCopies ? 2 : 1) || new Set(task.runs.map(run => run.life)).size < task.runs.length ? [`${id}: ${task.runs.length} runs`] : []),
		...(usage.isDraining ? [`${id}: ${life} drains`] : []),
		...(gang.every(({runs}) => runs.length === 1) ? [] : [`${id}: gang in part`]),
	];
});

test('what a plan chooses is committed in full while nothing has changed', () => {
	fc.assert(fc.property(fc.array(drawStep, {minLength: 1, maxLength: 8}), steps => {
		const fleet = buildFleet(steps);
		const first = commit(fleet.ledger, plan(fleet, false));
		const second = commit(fleet.ledger, plan(fleet, true));
		expect([first.refused, second.refused]).toEqual([[], []]);
		expect(listBrokenLimits(fleet.ledger, [...first.runs, ...second.runs])).toEqual([]);
	}), {seed: 55, numRuns: 300});
});

test('whatever changes between a plan and its commit, the runs that start keep every limit', () => {
	fc.assert(fc.property(fc.array(drawStep, {minLength: 1, maxLength: 8}), fc.array(drawChange, {maxLength: 6}), (steps, changes) => {
		const fleet = buildFleet(steps);
		commit(fleet.ledger, plan(fleet, false).filter((_, index) => index % 3 > 0));
		const stale = plan(fleet, true);
		for (const item of changes) {
			change(fleet.ledger, item, stale);
		}

		const {runs} = commit(fleet.ledger, stale);
		expect(listBrokenLimits(fleet.ledger, runs)).toEqual([]);
	}), {seed: 55, numRuns: 500});
});
