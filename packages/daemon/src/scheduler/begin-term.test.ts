import {createVirtualTimerService} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {beginTerm, type TermStart} from './begin-term.js';
import type {ProposalResult} from './command-batcher.js';

const ignoreLine = () => undefined;
const log = {
	debug: ignoreLine, info: ignoreLine, warn: ignoreLine, error: ignoreLine,
};

const begin = (results: ReadonlyArray<Exclude<ProposalResult['type'], 'tooLarge'>>, options: Partial<Pick<TermStart, 'isCurrent' | 'startDuties'>> = {}) => {
	const timers = createVirtualTimerService(0);
	const happened: string[] = [];
	let hasBegun = false;
	void beginTerm({
		term: 7,
		timers,
		log,
		async proposeTerm() {
			const type = results[happened.length] ?? 'applied';
			happened.push(type);
			hasBegun = type === 'applied';
			return type === 'applied' ? {type, outcome: {type: 'applied'}} : {type};
		},
		isCurrent: () => true,
		hasBegun: () => hasBegun,
		startDuties() {
			happened.push('duties');
		},
		giveWay() {
			happened.push('gave way');
		},
		...options,
	});
	const run = async () => {
		for (let turn = 0; turn < 20; turn += 1) {
			timers.advance(100);
			// eslint-disable-next-line no-await-in-loop -- lets the promises settle
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		return happened;
	};

	return {run};
};

test('a host that leads begins its duties although the first commits of its term ended without a result', async () => {
	expect(await begin(['unknown', 'notProposed']).run()).toEqual(['unknown', 'notProposed', 'applied', 'duties']);
});

test('a host that no longer leads the term does not propose it again', async () => {
	expect(await begin(['unknown'], {isCurrent: () => false}).run()).toEqual(['unknown']);
});

test('a leader whose duties cannot start gives way', async () => {
	const {run} = begin([], {
		startDuties() {
			throw new Error('no duties');
		},
	});
	expect(await run()).toEqual(['applied', 'gave way']);
});
