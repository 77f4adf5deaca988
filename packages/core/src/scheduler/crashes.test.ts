import {
	toBrand, type JobId, type WaveId, type WorkerId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyLedgerCommand} from './apply-ledger-command.js';
import {crashProofWaitMs} from './constants.js';
import {createLedger, findTask} from './ledger.js';
import type {UsableMinion} from './minion-capacity.js';
import {planStarts} from './plan-starts.js';
import {createLedgerSnapshot, restoreLedger} from './snapshot.js';
import {
	addTestJob, addTestMinion, assignTestRuns, testNowMs,
} from './test-fleet.js';
import type {
	IncarnationId, Ledger, LedgerOutcome, LostRun, MinionLoss, TaskId,
} from './types.js';

const parse = () => undefined;

const getTask = (job: JobId, index = 0) => toBrand<TaskId>(`${job}.0.0.${index}`);

const createLoss = (runs: readonly LostRun[], change: Partial<MinionLoss> = {}): MinionLoss => ({
	atMs: testNowMs, isRefused: true, isShared: false, runs, ...change,
});

const crash = (ledger: Ledger, life: IncarnationId, loss: MinionLoss): LedgerOutcome => applyLedgerCommand(ledger, {
	type: 'minion/left', term: 0, life, loss,
}, parse);

const assign = (ledger: Ledger, task: TaskId, {record: {life}}: UsableMinion): LostRun => {
	const run = (findTask(ledger, task)?.lastRunNumber ?? 0) + 1;
	assignTestRuns(ledger, [{task, run, life}]);
	return {task, run, ranMs: 5};
};

/** Has a minion crash under tasks of which each had run for this long. */
const crashUnder = (ledger: Ledger, name: string, {tasks, ranMs = 5, change}: {readonly tasks: readonly TaskId[]; readonly ranMs?: number; readonly change?: Partial<MinionLoss>}) => {
	const minion = addTestMinion(ledger, name);
	const runs = tasks.map(task => ({...assign(ledger, task, minion), ranMs}));
	return crash(ledger, minion.record.life, createLoss(runs, change));
};

const getStatus = (ledger: Ledger, job: JobId) => ledger.jobs.get(job)?.status;

test('a job is given up once two minions have crashed right after a start of its task, as the only suspect on the latter', () => {
	const ledger = createLedger();
	const jobs = ['a', 'b', 'c'].map(name => addTestJob(ledger, name, {count: 1}));
	const [deadly, ...neighbours] = jobs.map(job => getTask(job));
	const first = crashUnder(ledger, 'i-1', {tasks: [deadly!, ...neighbours]});
	expect(jobs.map(job => getStatus(ledger, job))).toEqual(['active', 'active', 'active']);
	const second = crashUnder(ledger, 'i-2', {tasks: [deadly!], change: {atMs: testNowMs + 4000}});
	expect({first, second}).toMatchInlineSnapshot(`
		{
		  "first": {
		    "crashes": [
		      {
		        "crash": {
		          "atMs": 1700000000000,
		          "isExplained": false,
		          "isSudden": true,
		          "life": "i-1@1",
		          "tasks": [
		            "000000000000000a.0.0.0",
		            "000000000000000b.0.0.0",
		            "000000000000000c.0.0.0",
		          ],
		        },
		        "givenUp": undefined,
		        "isShared": false,
		        "suspects": [],
		      },
		    ],
		    "type": "applied",
		  },
		  "second": {
		    "crashes": [
		      {
		        "crash": {
		          "atMs": 1700000004000,
		          "isExplained": false,
		          "isSudden": true,
		          "life": "i-2@1",
		          "tasks": [
		            "000000000000000a.0.0.0",
		          ],
		        },
		        "givenUp": "000000000000000a",
		        "isShared": false,
		        "suspects": [
		          "000000000000000a.0.0.0",
		        ],
		      },
		    ],
		    "type": "applied",
		  },
		}
	`);
	expect(jobs.map(job => getStatus(ledger, job))).toEqual(['failed', 'active', 'active']);
	expect(ledger.jobs.get(jobs[0]!)?.givenUp).toEqual({task: deadly, lives: ['i-1@1', 'i-2@1']});
	expect(neighbours.map(task => findTask(ledger, task)?.losses)).toEqual([[], []]);
});

test('a crash is counted once, also if it is recorded as a lapse, by the end of the incarnation and by the next one', () => {
	const ledger = createLedger();
	const task = getTask(addTestJob(ledger, 'a', {count: 1}));
	const minion = addTestMinion(ledger, 'i-1');
	const lost = assign(ledger, task, minion);
	const {life, worker} = minion.record;
	const loss = createLoss([lost]);
	const lapse = {
		type: 'runs/ended' as const, term: 0, atMs: testNowMs, loss, ends: [{
			...lost, life, ending: 'lapsed' as const, checkpoint: '',
		}],
	};
	applyLedgerCommand(ledger, lapse, parse);
	expect(findTask(ledger, task)?.losses).toMatchObject([{life, evidence: 'refused', ranMs: 5}]);
	applyLedgerCommand(ledger, lapse, parse);
	crash(ledger, life, loss);
	crash(ledger, life, loss);
	applyLedgerCommand(ledger, {
		type: 'minion/joined', term: 0, record: {
			...minion.record, life: toBrand<IncarnationId>('i-9@2'), minion: toBrand('i-9'), bornAtMs: 2, worker,
		}, losses: [{...loss, life}],
	}, parse);
	expect(findTask(ledger, task)?.losses).toMatchObject([{life, evidence: 'crashed', ranMs: 5}]);
	expect(ledger.crashes.length).toBe(1);
});

test('crashes and suspicions outlive a snapshot, and a snapshot of an earlier version has none', () => {
	const ledger = createLedger();
	const job = addTestJob(ledger, 'a', {count: 1});
	crashUnder(ledger, 'i-1', {tasks: [getTask(job)]});
	const text = createLedgerSnapshot(ledger);
	const restored = restoreLedger(text, parse);
	expect(findTask(restored, getTask(job))?.losses).toEqual(findTask(ledger, getTask(job))?.losses);
	expect([restored.crashes, [...restored.index.tasksWithLosses]]).toEqual([ledger.crashes, [...ledger.index.tasksWithLosses]]);
	crashUnder(restored, 'i-2', {tasks: [getTask(job)], change: {atMs: testNowMs + 4000}});
	expect(getStatus(restored, job)).toBe('failed');
	expect(restoreLedger(createLedgerSnapshot(restored), parse).jobs.get(job)?.givenUp).toEqual(restored.jobs.get(job)?.givenUp);
	const earlier = restoreLedger(JSON.stringify(JSON.parse(text, (key, value: unknown) => key === 'losses' || key === 'crashes' ? undefined : value)), parse);
	expect([findTask(earlier, getTask(job))?.losses, earlier.crashes]).toEqual([[], []]);
});

test('a minion that ends as ordered or announced does not count as crashed', () => {
	const ledger = createLedger();
	const task = getTask(addTestJob(ledger, 'a', {count: 1, isLasting: true}));
	const draining = addTestMinion(ledger, 'i-1');
	const drained = assign(ledger, task, draining);
	applyLedgerCommand(ledger, {type: 'minion/draining', term: 0, life: draining.record.life}, parse);
	crash(ledger, draining.record.life, createLoss([drained]));
	const moving = addTestMinion(ledger, 'i-2');
	const moved = assign(ledger, task, moving);
	applyLedgerCommand(ledger, {type: 'worker/ordered', term: 0, worker: moving.record.worker}, parse);
	crash(ledger, moving.record.life, createLoss([moved]));
	const due = addTestMinion(ledger, 'i-3');
	const wave = toBrand<WaveId>('1');
	const maintained = assign(ledger, task, due);
	applyLedgerCommand(ledger, {
		type: 'wave/started', wave: {
			wave, workers: [toBrand<WorkerId>('worker-i-3')], maximumAtOnce: 1, startedAtMs: 0, dueAtMs: 1,
		},
	}, parse);
	applyLedgerCommand(ledger, {
		type: 'wave/workerOrdered', term: 0, wave, worker: due.record.worker, life: due.record.life,
	}, parse);
	crash(ledger, due.record.life, createLoss([maintained]));
	expect([findTask(ledger, task)?.losses, ledger.crashes]).toEqual([[], []]);
});

test('a long-running task is not given up when its minions crash after it has served there', () => {
	const ledger = createLedger();
	const job = addTestJob(ledger, 'a', {count: 1, isLasting: true});
	for (let count = 0; count < 8; count += 1) {
		crashUnder(ledger, `i-${count}`, {tasks: [getTask(job)], ranMs: 3500 + (count * 10), change: {atMs: testNowMs + (count * 9000)}});
	}

	expect([getStatus(ledger, job), findTask(ledger, getTask(job))?.losses]).toEqual(['active', []]);
});

test('minions that are lost together say nothing about the task of one of them', () => {
	const ledger = createLedger();
	const job = addTestJob(ledger, 'a', {count: 1});
	for (let count = 0; count < 4; count += 1) {
		crashUnder(ledger, `i-${count}`, {tasks: [getTask(job)], change: {atMs: testNowMs + (count * 4000), isShared: true}});
	}

	expect(getStatus(ledger, job)).toBe('active');
});

test('while other minions crash with nothing just started, two crashes are not enough to give a job up', () => {
	const ledger = createLedger();
	const job = addTestJob(ledger, 'a', {count: 1});
	const other = addTestJob(ledger, 'b', {count: 8});
	const crashOther = (index: number, atMs: number) => crashUnder(ledger, `other-${index}`, {tasks: [getTask(other, index)], ranMs: 600, change: {atMs}});
	crashUnder(ledger, 'i-1', {tasks: [getTask(job)]});
	crashOther(0, testNowMs + 1000);
	crashOther(1, testNowMs + 2000);
	crashUnder(ledger, 'i-2', {tasks: [getTask(job)], change: {atMs: testNowMs + 4000}});
	expect(getStatus(ledger, job)).toBe('active');
	crashOther(2, testNowMs + 6000);
	crashUnder(ledger, 'i-3', {tasks: [getTask(job)], change: {atMs: testNowMs + 8000}});
	expect([getStatus(ledger, job), getStatus(ledger, other)]).toEqual(['failed', 'active']);
});

test('a minion that answers again after its leases lapsed clears the tasks whose ends it lists', () => {
	const ledger = createLedger();
	const task = getTask(addTestJob(ledger, 'a', {count: 1, isLasting: true}));
	const minion = addTestMinion(ledger, 'i-1');
	const lost = assign(ledger, task, minion);
	const end = {...lost, life: minion.record.life, checkpoint: ''};
	applyLedgerCommand(ledger, {
		type: 'runs/ended', term: 0, atMs: testNowMs, loss: createLoss([lost]), ends: [{...end, ending: 'lapsed'}],
	}, parse);
	expect(findTask(ledger, task)?.losses.length).toBe(1);
	applyLedgerCommand(ledger, {
		type: 'runs/ended', term: 0, atMs: testNowMs, ends: [{...end, ending: 'failed'}],
	}, parse);
	expect(findTask(ledger, task)?.losses).toEqual([]);
});

// Load: everything that ran on a crashed minion becomes ready in the same moment, beside new jobs.
test('suspects of a crash start apart from each other and from other tasks, and the others fill up the minions', () => {
	const ledger = createLedger();
	const jobs = Array.from({length: 5}, (_, index) => addTestJob(ledger, `a${index}`, {count: 1}));
	crashUnder(ledger, 'i-1', {tasks: jobs.map(job => getTask(job))});
	addTestJob(ledger, 'b', {count: 6});
	const minions = ['i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7'].map(name => addTestMinion(ledger, name));
	const plan = (usable: readonly UsableMinion[]) => planStarts({
		ledger, nowMs: testNowMs, minions: usable, isAllowed: () => true, getWaitMs: () => 0, getAvoidedIncarnations: () => undefined, copies: [],
	}).map(({task, life}) => `${task.slice(14)} on ${life}`);
	const running = toBrand<JobId>('running');
	const addSuspects = (isNew: boolean) => minions.map((minion, index) => index < 4 ? {...minion, crashSuspect: {job: running, isNew}} : minion);
	expect({
		first: plan(minions), besideNewSuspects: plan(addSuspects(true)), besideSuspects: plan(addSuspects(false)),
	}).toMatchInlineSnapshot(`
		{
		  "besideNewSuspects": [
		    "a0.0.0.0 on i-6@1",
		    "a1.0.0.0 on i-7@1",
		  ],
		  "besideSuspects": [
		    "a0.0.0.0 on i-6@1",
		    "a1.0.0.0 on i-7@1",
		    "0b.0.0.0 on i-2@1",
		    "0b.0.0.1 on i-2@1",
		    "0b.0.0.2 on i-2@1",
		    "0b.0.0.3 on i-2@1",
		    "0b.0.0.4 on i-3@1",
		    "0b.0.0.5 on i-3@1",
		  ],
		  "first": [
		    "a0.0.0.0 on i-2@1",
		    "a1.0.0.0 on i-3@1",
		    "a2.0.0.0 on i-4@1",
		    "a3.0.0.0 on i-5@1",
		    "a4.0.0.0 on i-6@1",
		    "0b.0.0.0 on i-7@1",
		    "0b.0.0.1 on i-7@1",
		    "0b.0.0.2 on i-7@1",
		    "0b.0.0.3 on i-7@1",
		  ],
		}
	`);
});

test('a task that was lost twice waits for the proof that its minion crashed, but not for ever', () => {
	const ledger = createLedger();
	const job = addTestJob(ledger, 'a', {count: 1});
	const other = addTestJob(ledger, 'b', {count: 1});
	crashUnder(ledger, 'i-1', {tasks: [getTask(job), getTask(other)], ranMs: 60});
	const minion = addTestMinion(ledger, 'i-2');
	const lost = assign(ledger, getTask(job), minion);
	const lostAtMs = testNowMs + 4000;
	applyLedgerCommand(ledger, {
		type: 'runs/ended', term: 0, atMs: lostAtMs, loss: createLoss([lost], {atMs: lostAtMs}), ends: [{
			...lost, life: minion.record.life, ending: 'lapsed', checkpoint: '',
		}],
	}, parse);
	const minions = [addTestMinion(ledger, 'i-3'), addTestMinion(ledger, 'i-4')];
	const plan = (nowMs: number) => planStarts({
		ledger, nowMs, minions, isAllowed: () => true, getWaitMs: () => 0, getAvoidedIncarnations: () => undefined, copies: [],
	}).map(({task}) => task.slice(15));
	expect([plan(lostAtMs + crashProofWaitMs - 1), plan(lostAtMs + crashProofWaitMs)]).toMatchInlineSnapshot(`
		[
		  [
		    "b.0.0.0",
		  ],
		  [
		    "b.0.0.0",
		    "a.0.0.0",
		  ],
		]
	`);
});
