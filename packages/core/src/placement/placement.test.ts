import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createSeededRandom, toBrand, type MinionId, type WorkerId,
} from '@samphiremill/common';
import {createSortedSet, insertItem} from '../collections/sorted-set.js';
import {chooseMinion} from './choose-minion.js';
import {addSample, emptySketch, getQuantile} from './run-profile.js';
import type {Candidate} from './types.js';

const toMinion = (index: number) => toBrand<MinionId>(`minion-${index}`);
const toWorker = (index: number) => toBrand<WorkerId>(`worker-${index}`);

function createCandidates(count: number, getChanges: (index: number) => Partial<Candidate>): readonly Candidate[] {
	return Array.from({length: count}, (_, index) => ({
		minion: toMinion(index),
		worker: toWorker(index),
		rack: `rack-${Math.floor(index / 4)}`,
		usedSlots: 0,
		heldSlots: 8,
		freeCores: 32,
		freeMemoryMb: 1024,
		failuresInRow: 0,
		...getChanges(index),
	}));
}

function choose(candidates: readonly Candidate[], options: {
	readonly cores?: number;
	readonly avoidedWorkers?: readonly WorkerId[];
	readonly getRackUse?: (rack: string) => number;
	readonly choices?: number;
}) {
	const {cores = 0, avoidedWorkers = [], getRackUse = () => 0, choices = 3} = options;
	let ready = createSortedSet<MinionId>((left, right) => left < right ? -1 : Number(left > right));
	for (const {minion} of candidates) {
		ready = insertItem(ready, minion);
	}

	return chooseMinion({
		ready,
		getCandidate: minion => candidates.find(candidate => candidate.minion === minion),
		request: {size: {cores, memoryMb: 0}, avoidedWorkers, getTeamUsageOfRack: getRackUse},
		choices,
		random: createSeededRandom(4),
	});
}

test('the one minion with room is found among many, and none is chosen without room', () => {
	const candidates = createCandidates(50, index => ({freeCores: index === 37 ? 16 : 1}));
	expect(choose(candidates, {cores: 16})?.candidate.minion).toBe('minion-37');
	expect(choose(candidates, {cores: 17})).toBeUndefined();
});

test('a worker on which the job failed is taken only where there is no other', () => {
	const candidates = createCandidates(6, () => ({}));
	const avoided = [0, 1, 2, 3, 4].map(index => toWorker(index));
	expect(choose(candidates, {avoidedWorkers: avoided})?.candidate.worker).toBe('worker-5');
	expect(choose(candidates.slice(0, 5), {avoidedWorkers: avoided})).toBeDefined();
});

test('of equally loaded minions the one in the rack with least of the team is chosen', () => {
	const candidates = createCandidates(8, () => ({usedSlots: 2}));
	const choice = choose(candidates, {getRackUse: rack => rack === 'rack-0' ? 5 : 0, choices: 8});
	expect(choice?.candidate.rack).toBe('rack-1');
});

test('learned quantiles are at most a fifth above the true ones, and follow a change', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 100_000}), {minLength: 1, maxLength: 200}), values => {
		let sketch = emptySketch;
		for (const value of values) {
			sketch = addSample(sketch, value);
		}

		for (const quantile of [0.1, 0.5, 0.9]) {
			const sorted = values.toSorted((left, right) => left - right);
			const exact = sorted[Math.ceil(sorted.length * quantile) - 1] ?? 0;
			expect(getQuantile(sketch, quantile)).toBeGreaterThanOrEqual(exact * 0.999_999);
			expect(getQuantile(sketch, quantile)).toBeLessThanOrEqual(exact * 1.2);
		}
	}), {seed: 14});

	let sketch = emptySketch;
	for (let index = 0; index < 2000; index += 1) {
		sketch = addSample(sketch, index < 1000 ? 10 : 1000);
	}

	expect(getQuantile(sketch, 0.5)).toBeGreaterThanOrEqual(1000);
});
