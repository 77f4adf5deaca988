import {
	toBrand, type JobId, type PoolId, type QueueId,
} from '@samphiremill/common';
import type {LedgerCommand} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createCommandBatcher, type ProposalResult} from './command-batcher.js';

const nextTurn = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

const cancel = (name: string): LedgerCommand => ({type: 'job/cancelled', id: toBrand<JobId>(name), atMs: 0});

const createLog = () => {
	const proposed: LedgerCommand[] = [];
	const settles: Array<(decision: ProposalResult) => void> = [];
	const submit = createCommandBatcher(async command => {
		proposed.push(command);
		return new Promise(resolve => {
			settles.push(resolve);
		});
	}, err => {
		throw err;
	});
	const nameCommands = () => proposed.map(command => command.type === 'batch' ? command.commands.map(part => part.type === 'job/cancelled' ? part.id : '') : command.type);
	return {settles, submit, nameCommands};
};

test('commands of one turn are proposed together and settled each by its own outcome', async () => {
	const {settles, submit, nameCommands} = createLog();
	const decisions = ['a', 'b'].map(async name => submit(cancel(name)));
	await nextTurn();
	expect(nameCommands()).toEqual([['a', 'b']]);
	settles[0]?.({type: 'applied', outcome: {type: 'batch', outcomes: [{type: 'applied'}, {type: 'ignored'}]}});
	expect(await Promise.all(decisions)).toEqual([
		{type: 'applied', outcome: {type: 'applied'}}, {type: 'applied', outcome: {type: 'ignored'}},
	]);
});

test('under a flood of commands one proposal is under way at a time, and the order stays', async () => {
	const {settles, submit, nameCommands} = createLog();
	for (const name of ['a', 'b', 'c', 'd']) {
		void submit(cancel(name));
		await nextTurn(); // eslint-disable-line no-await-in-loop -- one turn after the other
	}

	expect(nameCommands()).toEqual(['job/cancelled']);
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	await nextTurn();
	expect(nameCommands()).toEqual(['job/cancelled', ['b', 'c', 'd']]);
});

test('jobs with large payloads go in several proposals, each well within a message', async () => {
	const {settles, submit, nameCommands} = createLog();
	const accept = (name: string): LedgerCommand => ({
		type: 'job/accepted',
		term: 1,
		job: {
			id: toBrand<JobId>(name), queue: toBrand<QueueId>('q'), pool: toBrand<PoolId>('counter'), team: undefined, priority: 0, maximumAttempts: 1, stretchFactor: 1, startLatencyMs: 1, advice: undefined, acceptedAtMs: 0,
			specification: {payload: 'x'.repeat(60_000), steps: [], schedule: undefined},
		},
	});
	for (const name of ['a', 'b', 'c', 'd', 'e']) {
		void submit(accept(name));
	}

	await nextTurn();
	settles[0]?.({type: 'unknown'});
	await nextTurn();
	expect(nameCommands().map(names => names.length)).toEqual([2, 2]);
});

test('a proposal of which nothing is known leaves all its commands uncertain', async () => {
	const {settles, submit} = createLog();
	const decisions = ['a', 'b'].map(async name => submit(cancel(name)));
	await nextTurn();
	settles[0]?.({type: 'unknown'});
	expect(await Promise.all(decisions)).toEqual([{type: 'unknown'}, {type: 'unknown'}]);
});

test.each([
	['rejects', async () => {
		throw new Error('an unforeseen state');
	}],
	['throws', () => {
		throw new Error('an unforeseen state');
	}],
])('a proposal that %s leaves its commands uncertain, is told of, and the next ones go on', async (_, fail) => {
	const told: unknown[] = [];
	let failuresLeft = 2;
	// eslint-disable-next-line @typescript-eslint/promise-function-async -- one case throws before there is a promise
	const submit = createCommandBatcher((): Promise<ProposalResult> => {
		failuresLeft -= 1;
		return failuresLeft < 0 ? Promise.resolve({type: 'applied', outcome: undefined}) : fail();
	}, err => {
		told.push(err);
	});
	const single = submit(cancel('a'));
	await nextTurn();
	const several = ['b', 'c'].map(async name => submit(cancel(name)));
	expect(await Promise.all([single, ...several])).toEqual([{type: 'unknown'}, {type: 'unknown'}, {type: 'unknown'}]);
	expect(await submit(cancel('d'))).toEqual({type: 'applied', outcome: undefined});
	expect(told).toEqual([new Error('an unforeseen state'), new Error('an unforeseen state')]);
});
