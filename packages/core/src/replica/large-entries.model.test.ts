/**
 * Random faults beside entries of all sizes on links of limited bandwidth: once the faults are over, every host soon holds the whole log.
 */
import process from 'node:process';
import {createSeededRandom, type RandomSource} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {createTestNetwork, type TestNetwork} from './test-network.js';

const firstSeed = Number(process.env.SAMPHIREMILL_SEED ?? 1);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 6);
const names = ['a1', 'b1', 'c1'];
const entryLengths = [100, 3000, 60_000, 300_000];
const faultsMs = 8000;
const settleMs = 3000;

const pick = <Item>(random: RandomSource, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;

const disturb = (network: TestNetwork, random: RandomSource) => {
	const name = pick(random, names);
	const other = pick(random, names.filter(candidate => candidate !== name));
	const durationMs = 50 + (random() * 700);
	switch (pick(random, ['cut', 'restart', 'pause', 'slowDisk'] as const)) {
		case 'cut': {
			network.cut(name, other);
			network.run(durationMs);
			network.heal();
			break;
		}

		case 'restart': {
			network.crash(name);
			network.run(durationMs);
			network.restart(name);
			break;
		}

		case 'pause': {
			network.pause(name);
			network.run(durationMs);
			network.resume(name);
			break;
		}

		case 'slowDisk': {
			network.setSyncTime(name, {least: 50, most: 300});
			network.run(durationMs);
			network.setSyncTime(name, {least: 1, most: 5});
		}
	}
};

const play = (seed: number): TestNetwork => {
	const random = createSeededRandom(seed);
	const network = createTestNetwork({
		nodes: names.map(name => ({name, dataCentre: `of ${name}`, kind: 'voter'})),
		seed,
		limits: {
			...controlHostReplicaLimits,
			minimumSnapshotBytes: 1_000_000,
			maximumSnapshotBytes: 2_000_000,
			maximumLogBytes: 4_000_000,
			trailingBytes: 1_000_000,
			maximumUncommittedBytes: 2_000_000,
			maximumChunkLength: 8192,
		},
		delayMs: {least: 0.5, most: 5},
		isOrdered: random() < 0.5,
		links: {bytesPerMs: 10_000, bufferBytes: 2_097_152},
		lossProbability: pick(random, [0, 0.02]),
		duplicateProbability: pick(random, [0, 0.05]),
		keepOfCommand: command => command.slice(0, 40),
	});
	for (let change = 0; network.getNowMs() < faultsMs; change += 1) {
		network.propose(network.getLeader() ?? 'a1', `change ${change} `.padEnd(pick(random, entryLengths), '.'));
		network.run(20 + (random() * 100));
		if (random() < 0.08) {
			disturb(network, random);
		}
	}

	return network;
};

// Review of issue 44, case 1: what was dropped for a full send buffer counted as sent, and was sent again and again.
test('after losses, cuts, restarts, standstills and slow disks beside entries of all sizes, every host soon holds the whole log', () => {
	for (let seed = firstSeed; seed < firstSeed + numberRuns; seed += 1) {
		const network = play(seed);
		network.disableRandomFaults();
		network.run(settleMs);
		const before = network.getTraffic(network.getLeader() ?? '').droppedMessages;
		const proposal = network.propose(network.getLeader() ?? 'a1', 'last');
		network.run(settleMs);
		expect(network.getOutcome(proposal)?.type, `seed ${seed}`).toBe('done');
		const indexes = names.map(name => network.getState(name).commitIndex);
		expect(new Set(indexes).size, `seed ${seed}: ${indexes.join(' ')}`).toBe(1);
		expect(network.getTraffic(network.getLeader() ?? '').droppedMessages, `seed ${seed}`).toBe(before);
		for (const name of names) {
			const bytes = network.getState(name).log.entries.reduce((sum, {payload}) => sum + (payload.type === 'command' ? payload.command.length : 0), 0);
			expect(bytes, `seed ${seed}: ${name}`).toBeLessThan(1_000_000 + 4_000_000 + 2_000_000 + 300_000);
		}
	}
}, 120_000);
