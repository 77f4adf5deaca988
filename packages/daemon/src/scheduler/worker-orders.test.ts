import {
	createVirtualTimerService, toBrand, type NodeId, type WorkerId,
} from '@samphiremill/common';
import {applyLedgerCommand, createLedger} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createWorkerOrderTimes} from './order-clock.js';
import type {WorkerOrderAuthority, WorkerOrderResult} from './types.js';
import {createWorkerOrders} from './worker-orders.js';

const worker = toBrand<WorkerId>('worker-1');
const turnMs = 3300;

const setUp = () => {
	const timers = createVirtualTimerService(1000);
	const ledger = createLedger();
	const clock = createWorkerOrderTimes(timers);
	const lead = (term: number) => {
		applyLedgerCommand(ledger, {type: 'term/begun', term}, () => undefined);
		return createWorkerOrders({
			self: toBrand<NodeId>(`host-${term}`),
			term,
			timers,
			turnMs,
			getLedger: () => ledger,
			getNotedAtMs: clock.getLastOrderAtMs,
			canAct: () => true,
			async decide(command) {
				clock.recordCommand(command);
				return applyLedgerCommand(ledger, command, () => undefined).type === 'applied';
			},
		});
	};

	return {timers, lead};
};

const answerWith = (result: WorkerOrderResult, tokens: number[] = []) => async ({fencingToken}: WorkerOrderAuthority) => {
	tokens.push(fencingToken);
	return result;
};

test('while one order for a worker is under way, no other is sent', async () => {
	const {timers, lead} = setUp();
	const orders = lead(1);
	timers.advance(1000);
	let finish: (result: WorkerOrderResult) => void = () => undefined;
	const move = orders.send(worker, 'move', async () => new Promise<WorkerOrderResult>(resolve => {
		finish = resolve;
	}));
	await Promise.resolve();
	const during = await orders.send(worker, 'upkeep', answerWith('done'));
	finish('done');
	expect({during, move: await move, after: await orders.send(worker, 'upkeep', answerWith('done'))}).toEqual({during: 'waiting', move: 'done', after: 'done'});
});

test('a refused token is not used again, and the worker is left alone for a turn', async () => {
	const {timers, lead} = setUp();
	const orders = lead(1);
	timers.advance(1000);
	const tokens: number[] = [];
	const outcomes = [await orders.send(worker, 'move', answerWith('fenced', tokens))];
	timers.advance(1000);
	outcomes.push(await orders.send(worker, 'move', answerWith('done', tokens)));
	timers.advance(turnMs);
	outcomes.push(await orders.send(worker, 'move', answerWith('done', tokens)));
	expect({outcomes, hasNewToken: (tokens[1] ?? 0) > (tokens[0] ?? 0), isOpenElsewhere: orders.canOrder(toBrand<WorkerId>('worker-2'))}).toEqual({outcomes: ['fenced', 'waiting', 'done'], hasNewToken: true, isOpenElsewhere: true});
});

test.each([
	['done', 2000, false], ['done', 3400, true], ['noAnswer', 3400, false], ['noAnswer', 8000, true],
] as const)('after an order that ended with %s the next leader waits (%i ms later: open %s)', async (result, laterMs, isOpen) => {
	const {timers, lead} = setUp();
	const orders = lead(1);
	timers.advance(1000);
	await orders.send(worker, 'move', answerWith(result));
	timers.advance(1000);
	const next = lead(2);
	timers.advance(laterMs - 1000);
	expect(next.canOrder(worker)).toBe(isOpen);
});
