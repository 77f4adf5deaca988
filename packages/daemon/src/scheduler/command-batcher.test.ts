import {Buffer} from 'node:buffer';
import {
	createVirtualTimerService, toBrand, type JobId, type PoolId, type QueueId,
} from '@samphiremill/common';
import {plainStep, type LedgerCommand, type RunKey} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {encodeFrame} from '../peers/frames.js';
import {maximumFrameBytes} from '../peers/constants.js';
import {createCommandBatcher, type ProposalResult} from './command-batcher.js';

const waitForNextTurn = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

const cancel = (name: string): LedgerCommand => ({type: 'job/cancelled', id: toBrand<JobId>(name), atMs: 0});

const createLog = ({spacingMs = 0}: {readonly spacingMs?: number} = {}) => {
	const timers = createVirtualTimerService();
	const proposed: LedgerCommand[] = [];
	const settles: Array<(decision: ProposalResult) => void> = [];
	const tooLarge: string[] = [];
	const submit = createCommandBatcher({
		timers,
		spacingMs,
		async propose(command) {
			proposed.push(command);
			return new Promise(resolve => {
				settles.push(resolve);
			});
		},
		onError(err) {
			throw err;
		},
		onTooLarge(type) {
			tooLarge.push(type);
		},
	});
	const nameCommands = () => proposed.map(command => command.type === 'batch' ? command.commands.map(part => part.type === 'job/cancelled' ? part.id : '') : command.type);
	return {
		timers, settles, submit, nameCommands, proposed, tooLarge,
	};
};

test('commands of one turn of the event loop are proposed together, and each is settled with its own outcome', async () => {
	const {settles, submit, nameCommands} = createLog();
	const decisions = ['a', 'b'].map(async name => submit(cancel(name)));
	await waitForNextTurn();
	expect(nameCommands()).toEqual([['a', 'b']]);
	settles[0]?.({type: 'applied', outcome: {type: 'batch', outcomes: [{type: 'applied'}, {type: 'ignored'}]}});
	expect(await Promise.all(decisions)).toEqual([
		{type: 'applied', outcome: {type: 'applied'}}, {type: 'applied', outcome: {type: 'ignored'}},
	]);
});

test('with many commands, one proposal is pending at a time, and the order is kept', async () => {
	const {settles, submit, nameCommands} = createLog();
	for (const name of ['a', 'b', 'c', 'd']) {
		void submit(cancel(name));
		await waitForNextTurn(); // eslint-disable-line no-await-in-loop -- turns run one at a time
	}

	expect(nameCommands()).toEqual(['job/cancelled']);
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	await waitForNextTurn();
	expect(nameCommands()).toEqual(['job/cancelled', ['b', 'c', 'd']]);
});

test('commands that arrive soon after a proposal began share the next one, also if it is settled at once (incident 51)', async () => {
	const {timers, settles, submit, nameCommands} = createLog({spacingMs: 20});
	void submit(cancel('a'));
	await waitForNextTurn();
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	for (const name of ['b', 'c', 'd']) {
		timers.advance(5);
		void submit(cancel(name));
		await waitForNextTurn(); // eslint-disable-line no-await-in-loop -- turns run one at a time
	}

	expect(nameCommands()).toEqual(['job/cancelled']);
	timers.advance(5);
	expect(nameCommands()).toEqual(['job/cancelled', ['b', 'c', 'd']]);
});

test('after a quiet time a command is proposed at once', async () => {
	const {timers, settles, submit, nameCommands} = createLog({spacingMs: 20});
	void submit(cancel('a'));
	await waitForNextTurn();
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	timers.advance(20);
	void submit(cancel('b'));
	await waitForNextTurn();
	expect(nameCommands()).toEqual(['job/cancelled', 'job/cancelled']);
});

test('more commands than one proposal takes do not wait', async () => {
	const {settles, submit, proposed} = createLog({spacingMs: 20});
	void submit(cancel('a'));
	await waitForNextTurn();
	for (let index = 0; index < 300; index += 1) {
		void submit(cancel(`b${index}`));
	}

	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	await waitForNextTurn();
	expect(proposed.length).toBe(2);
});

test('jobs with large payloads are split over several proposals of limited length', async () => {
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

	await waitForNextTurn();
	settles[0]?.({type: 'unknown'});
	await waitForNextTurn();
	expect(nameCommands().map(names => names.length)).toEqual([2, 2]);
});

// Review of issue 44, case 2: what waited was bounded by nothing, so a log that accepts nothing filled the memory.
test('while the log accepts nothing, commands beyond the bytes that may wait are refused at once, and the others keep their turn', async () => {
	const {settles, submit, proposed} = createLog();
	const configuration = 'x'.repeat(800_000);
	const results = Array.from({length: 40}, async () => submit({type: 'configuration/replaced', document: configuration}));
	await waitForNextTurn();
	expect(proposed).toHaveLength(1);
	const settled = await Promise.race([Promise.all(results.slice(25)), waitForNextTurn()]);
	expect(settled).toEqual(Array.from({length: 15}, () => ({type: 'notProposed'})));
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	expect(await results[0]).toEqual({type: 'applied', outcome: {type: 'applied'}});
	await waitForNextTurn();
	expect(proposed).toHaveLength(2);
	const later = submit({type: 'configuration/replaced', document: configuration});
	expect(await Promise.race([later, waitForNextTurn()])).toBeUndefined();
});

test('a proposal with an unknown result settles all its commands as unknown', async () => {
	const {settles, submit} = createLog();
	const decisions = ['a', 'b'].map(async name => submit(cancel(name)));
	await waitForNextTurn();
	settles[0]?.({type: 'unknown'});
	expect(await Promise.all(decisions)).toEqual([{type: 'unknown'}, {type: 'unknown'}]);
});

test.each([
	['rejects', async () => {
		throw new Error('unexpected state');
	}],
	['throws', () => {
		throw new Error('unexpected state');
	}],
])('a proposal that %s settles its commands as unknown and is reported, and later proposals go on', async (_, fail) => {
	const reportedErrors: unknown[] = [];
	let failuresLeft = 2;
	const submit = createCommandBatcher({
		timers: createVirtualTimerService(),
		spacingMs: 0,
		// eslint-disable-next-line @typescript-eslint/promise-function-async -- one case throws before there is a promise
		propose(): Promise<ProposalResult> {
			failuresLeft -= 1;
			return failuresLeft < 0 ? Promise.resolve({type: 'applied', outcome: undefined}) : fail();
		},
		onError(err) {
			reportedErrors.push(err);
		},
		onTooLarge: () => undefined,
	});
	const single = submit(cancel('a'));
	await waitForNextTurn();
	const several = ['b', 'c'].map(async name => submit(cancel(name)));
	expect(await Promise.all([single, ...several])).toEqual([{type: 'unknown'}, {type: 'unknown'}, {type: 'unknown'}]);
	expect(await submit(cancel('d'))).toEqual({type: 'applied', outcome: undefined});
	expect(reportedErrors).toEqual([new Error('unexpected state'), new Error('unexpected state')]);
});

const acceptWithSteps = (name: string, imageLength: number): LedgerCommand => ({
	type: 'job/accepted',
	term: 1,
	job: {
		id: toBrand<JobId>(name), queue: toBrand<QueueId>('q'), pool: toBrand<PoolId>('counter'), team: undefined, priority: 0, maximumAttempts: 1, stretchFactor: 1, startLatencyMs: 1, advice: undefined, acceptedAtMs: 0,
		specification: {payload: '', steps: [{...plainStep, image: 'x'.repeat(imageLength)}], schedule: undefined},
	},
});

// A proposal that does not fit into a frame between hosts reaches none of them, and the log waits for it forever.
test('commands that together do not fit into a frame between hosts are split over several proposals', async () => {
	const {settles, submit, proposed} = createLog();
	for (let index = 0; index < 12; index += 1) {
		void submit(acceptWithSteps(`job-${index}`, 200_000));
	}

	for (let turn = 0; turn < 12; turn += 1) {
		await waitForNextTurn(); // eslint-disable-line no-await-in-loop -- turns run one at a time
		settles[turn]?.({type: 'applied', outcome: {type: 'applied'}});
	}

	expect(proposed.flatMap(command => command.type === 'batch' ? command.commands : [command]).length).toBe(12);
	expect(Math.max(...proposed.map(command => encodeFrame(command).length))).toBeLessThan(maximumFrameBytes);
});

test('reports on starts count towards the size of a proposal', async () => {
	const {settles, submit, proposed} = createLog();
	const uncertain = Array.from({length: 256}, (_, index) => toBrand<RunKey>(`ffffffffffffffff.99999.9999.${99_999 - index}#1000000`));
	for (let index = 0; index < 200; index += 1) {
		void submit({
			type: 'runs/ended', term: 1, ends: [], atMs: 0, startReport: {upTo: 1, uncertain},
		});
	}

	for (let turn = 0; turn < 40; turn += 1) {
		await waitForNextTurn(); // eslint-disable-line no-await-in-loop -- turns run one at a time
		settles[turn]?.({type: 'applied', outcome: {type: 'applied'}});
	}

	expect(proposed.flatMap(command => command.type === 'batch' ? command.commands : [command]).length).toBe(200);
	expect(Math.max(...proposed.map(command => encodeFrame(command).length))).toBeLessThan(maximumFrameBytes);
});

test('a command that does not fit into a frame between hosts is not proposed, and the next one is', async () => {
	const {settles, submit, proposed, tooLarge} = createLog();
	// In UTF-8 a control character has six bytes as JSON, and most others have up to three.
	const large = [acceptWithSteps('large', 1_100_000), {type: 'configuration/replaced', document: '\u0001'.repeat(200_000)}, {type: 'configuration/replaced', document: '\u2603'.repeat(400_000)}] as const;
	const decisions = large.map(async command => submit(command));
	const next = submit(cancel('next'));
	await waitForNextTurn();
	expect(proposed).toEqual([cancel('next')]);
	settles[0]?.({type: 'applied', outcome: {type: 'applied'}});
	expect(await Promise.all(decisions)).toEqual(large.map(command => ({type: 'tooLarge', bytes: Buffer.byteLength(JSON.stringify(command))})));
	expect(tooLarge).toEqual(large.map(({type}) => type));
	expect(await next).toMatchObject({type: 'applied'});
});

test.each([{mayHaveEffect: true, expected: 'unknown'}, {mayHaveEffect: false, expected: 'notProposed'}])('a command that failed while it was applied is not said to have had no effect (mayHaveEffect: $mayHaveEffect)', async ({mayHaveEffect, expected}) => {
	const propose = createCommandBatcher({
		timers: createVirtualTimerService(),
		spacingMs: 0,
		propose: async () => ({type: 'applied', outcome: {type: 'failed', reason: 'an error', mayHaveEffect}}),
		onError: () => undefined,
		onTooLarge: () => undefined,
	});
	expect(await propose({type: 'term/begun', term: 1})).toEqual({type: expected});
});
