import {toBrand, type JobId, type QueueId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {applyLedgerCommand} from './apply-ledger-command.js';
import {maximumScheduledTasks} from './constants.js';
import {estimateJobBytes, maximumStoredBytes} from './job-memory.js';
import {createLedger, listTasks} from './ledger.js';
import {createLedgerSnapshot, restoreLedger} from './snapshot.js';
import {
	acceptTestJob, addTestMinion, assignTestRuns, createTestSpecification, endTestRuns, testNowMs, testPool,
} from './test-fleet.js';
import type {
	JobSpecification, Ledger, LedgerCommand, RunAssignment, RunEnding, TaskId,
} from './types.js';
import {getPoolIndex, openDueOccurrences} from './work-index.js';

const parse = () => undefined;
const minuteMs = 60_000;

const createDaily = (count: number, occurrences: number): JobSpecification => ({
	...createTestSpecification({count}),
	schedule: {firstDueAtMs: testNowMs + minuteMs, intervalMs: minuteMs, count: occurrences},
});

const countTasks = (ledger: Ledger) => [...ledger.jobs.values()].flatMap(job => listTasks(job)).length;

const endAll = (ledger: Ledger, job: JobId, occurrence: number, {life, ending}: {readonly life: RunAssignment['life']; readonly ending: RunEnding}) => {
	const runs = [0, 1].map((index): RunAssignment => ({task: toBrand<TaskId>(`${job}.${occurrence}.0.${index}`), run: 1, life}));
	assignTestRuns(ledger, runs);
	endTestRuns(ledger, runs, ending);
};

// Guards against schedules that take the heap of all control hosts with tasks that are due much later (LOST, Fault).
test('the occurrences of a schedule take no memory before they are due and after they are done', () => {
	const ledger = createLedger();
	const {record: {life}} = addTestMinion(ledger, 'i-1');
	const ids = Array.from({length: 24}, (_, index) => acceptTestJob(ledger, `a${index}`, {specification: createDaily(2, 1440)}));
	const before = countTasks(ledger);
	openDueOccurrences(ledger.index, testNowMs + minuteMs);
	const due = countTasks(ledger);
	for (const id of ids) {
		endAll(ledger, id, 0, {life, ending: 'done'});
	}

	expect({
		before, due, done: countTasks(ledger), open: ledger.index.steps.size,
	}).toEqual({
		before: 0, due: 48, done: 0, open: 0,
	});
});

// Guards against a backlog of due occurrences that takes the heap: their pool may have no minions for hours.
test('a backlog of due occurrences is opened up to a bound, by all jobs in turns, and goes on as others are done', () => {
	const ledger = createLedger();
	const {record: {life}} = addTestMinion(ledger, 'i-1');
	const large = acceptTestJob(ledger, 'a', {specification: createDaily(1000, 90)});
	const small = acceptTestJob(ledger, 'b', {specification: createDaily(2, 3)});
	const laterMs = testNowMs + (100 * minuteMs);
	openDueOccurrences(ledger.index, laterMs);
	const opened = [large, small].map(id => ledger.jobs.get(id)?.occurrences.size);
	const held = countTasks(ledger);
	endAll(ledger, small, 0, {life, ending: 'done'});
	endAll(ledger, small, 1, {life, ending: 'done'});
	endAll(ledger, small, 2, {life, ending: 'done'});
	openDueOccurrences(ledger.index, laterMs);
	expect({
		opened, isWithinBound: held <= maximumScheduledTasks, small: ledger.jobs.get(small)?.status, after: countTasks(ledger),
	}).toEqual({
		opened: [49, 3], isWithinBound: true, small: 'completed', after: 50_000,
	});
});

test('a snapshot of an earlier version, with the tasks of done occurrences, is restored with the same state', () => {
	const ledger = createLedger();
	const {record: {life}} = addTestMinion(ledger, 'i-1');
	const id = acceptTestJob(ledger, 'a', {specification: createDaily(2, 3)});
	endAll(ledger, id, 0, {life, ending: 'done'});
	const snapshot = createLedgerSnapshot(ledger);
	const tasks = [0, 1].map(index => ({
		id: `${id}.0.0.${index}`, runs: [], lastRunNumber: 1, lapsedRuns: [], failures: 0, checkpoint: '', isDone: true,
	}));
	const earlier = snapshot.replace('"doneOccurrences":{"before":1,"beyond":[]},"tasks":[]', `"tasks":${JSON.stringify(tasks)}`);
	expect(earlier).not.toBe(snapshot);
	expect(createLedgerSnapshot(restoreLedger(earlier, parse))).toBe(snapshot);
});

const endings: readonly RunEnding[] = ['done', 'done', 'failed', 'lapsed', 'stopped'];

const randomSteps = fc.array(fc.record({
	occurrence: fc.integer({min: 0, max: 4}), index: fc.integer({min: 0, max: 1}), ending: fc.constantFrom(...endings), nowMs: fc.integer({min: 0, max: 7 * minuteMs}), isRestored: fc.boolean(), isCancelled: fc.constantFrom(false, false, false, false, false, false, false, true),
}), {maxLength: 30});

// A leader opens occurrences by its clock, the other hosts only with the runs that it assigns.
test('hosts that open occurrences at different times, or restore a snapshot, agree on every outcome', () => {
	fc.assert(fc.property(randomSteps, drawn => {
		const leader = createLedger();
		let follower = createLedger();
		const {record: {life}} = addTestMinion(leader, 'i-1');
		addTestMinion(follower, 'i-1');
		const id = acceptTestJob(leader, 'a', {specification: createDaily(2, 4)});
		acceptTestJob(follower, 'a', {specification: createDaily(2, 4)});
		const applyBoth = (command: LedgerCommand) => [leader, follower].map(ledger => applyLedgerCommand(ledger, command, parse));
		const done = new Set<TaskId>();
		let run = 0;
		for (const {occurrence, index, ending, nowMs, isRestored, isCancelled} of drawn) {
			run += 1;
			openDueOccurrences(leader.index, testNowMs + nowMs);
			const assignment: RunAssignment = {task: toBrand<TaskId>(`${id}.${occurrence}.0.${index}`), run, life};
			const commands: readonly LedgerCommand[] = [
				{
					type: 'runs/assigned', term: 0, runs: [assignment], keepsLimits: true,
				},
				{
					type: 'runs/ended', term: 0, atMs: testNowMs, ends: [{...assignment, ending, checkpoint: ''}],
				},
				...isCancelled ? [{type: 'job/cancelled', id, atMs: testNowMs} as const] : [],
			];
			for (const command of commands) {
				const [first, second] = applyBoth(command);
				expect(second).toEqual(first);
				// A task that is done never starts again, also once its occurrence is dropped.
				expect(first?.type === 'assigned' && first.runs.some(({task}) => done.has(task))).toBe(false);
			}

			if (ending === 'done' && leader.jobs.get(id)?.hasStarted) {
				done.add(assignment.task);
			}

			follower = isRestored ? restoreLedger(createLedgerSnapshot(follower), parse) : follower;
			expect(createLedgerSnapshot(follower)).toBe(createLedgerSnapshot(leader));
			expect(follower.storedBytes).toBe(leader.storedBytes);
		}

		openDueOccurrences(leader.index, testNowMs + (10 * minuteMs));
		openDueOccurrences(follower.index, testNowMs + (10 * minuteMs));
		expect(getPoolIndex(follower.index, testPool).workload).toEqual(getPoolIndex(leader.index, testPool).workload);
		expect(follower.index.scheduledTasks.count).toBe(leader.index.scheduledTasks.count);
	}), {numRuns: 300});
});

const accept = (ledger: Ledger, name: string, specification: JobSpecification) => {
	const job = {
		id: toBrand<JobId>(name.padStart(16, '0')), queue: toBrand<QueueId>('q'), pool: testPool, team: undefined, priority: 0, maximumAttempts: 3, stretchFactor: 1.6, startLatencyMs: 600, advice: undefined, specification, acceptedAtMs: testNowMs,
	};
	return applyLedgerCommand(ledger, {
		type: 'job/accepted', term: 0, job, keepsBounds: true,
	}, parse);
};

// Guards against jobs that together take the heap of all control hosts, each of them small enough by itself.
test('the ledger refuses jobs for which there is no memory, until others have ended and are forgotten', () => {
	const ledger = createLedger();
	const specification = {...createTestSpecification({count: 50_000}), payload: 'x'.repeat(4000)};
	const outcomes = ['a', 'b', 'c'].map(name => accept(ledger, name, specification));
	const id = toBrand<JobId>('a'.padStart(16, '0'));
	applyLedgerCommand(ledger, {type: 'job/cancelled', id, atMs: testNowMs}, parse);
	outcomes.push(accept(ledger, 'd', specification));
	applyLedgerCommand(ledger, {type: 'jobs/forgotten', ids: [...ledger.jobs.keys()]}, parse);
	expect({outcomes, storedBytes: ledger.storedBytes, fitsTwice: 2 * estimateJobBytes(specification) <= maximumStoredBytes}).toEqual({
		outcomes: [{type: 'applied'}, {type: 'applied'}, {type: 'jobRefused', reason: 'storeFull'}, {type: 'applied'}], storedBytes: 0, fitsTwice: true,
	});
});
