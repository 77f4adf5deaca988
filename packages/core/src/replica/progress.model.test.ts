import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {controlHostReplicaLimits} from './constants.js';
import {getLatestVoters} from './log.js';
import {createTestNetwork, type TestNetwork, type TestNode} from './test-network.js';
import {createMaintainedNetwork} from './test-voter-maintenance.js';
import type {VoterIdentity} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 25);

const wantedVoters = 3;
const names = ['a1', 'b1', 'c1', 's1', 's2'];
const nodes = names.map((name): TestNode => ({name, dataCentre: name, kind: name.startsWith('s') ? 'spareDisk' : 'voter'}));

// A stalled leader gives way after 2.5 s, its successor is elected within two election timeouts of 1.2 s, and may have to give way
// once more.
const progressTimeoutMs = 7500;
// Changes of three voters, one after another, each after an absence of 2.5 s, and an aborted one.
const repairTimeoutMs = 15_000;

type Action
	= | {readonly type: 'crash' | 'restart' | 'wipe' | 'fillDisk' | 'freeDisk' | 'isolate' | 'transfer'; readonly node: string}
		| {readonly type: 'heal'}
		| {readonly type: 'run'; readonly durationMs: number};

const anyNode = fc.constantFrom(...names);
const anyAction: fc.Arbitrary<Action> = fc.oneof(
	{weight: 2, arbitrary: fc.record({type: fc.constantFrom('crash' as const, 'wipe' as const, 'fillDisk' as const, 'isolate' as const, 'transfer' as const), node: anyNode})},
	{weight: 4, arbitrary: fc.record({type: fc.constantFrom('restart' as const, 'freeDisk' as const), node: anyNode})},
	{weight: 1, arbitrary: fc.constant({type: 'heal' as const})},
	{weight: 5, arbitrary: fc.record({type: fc.constant('run' as const), durationMs: fc.constantFrom(100, 500, 1500, 4000, 9000)})},
);

// The newest set of voters that is known to be committed, and the sets that may follow it.
const listVoterSets = (network: TestNetwork): ReadonlyArray<readonly VoterIdentity[]> => {
	const states = names.map(name => network.getState(name));
	const committed = states.map(({log, snapshot, commitIndex, voters, votersIndex}) => votersIndex <= commitIndex
		? {voters, index: votersIndex}
		: getLatestVoters({...log, entries: log.entries.filter(({index}) => index <= commitIndex)}, {voters: snapshot?.voters ?? [], index: snapshot?.index ?? 0}))
		.toSorted((left, right) => right.index - left.index)[0];
	const later = states.filter(({votersIndex}) => votersIndex > (committed?.index ?? 0)).map(({voters}) => voters);
	return [committed?.voters ?? [], ...later];
};

// No replicated log survives the loss of a majority of its copies.
const isWipeAllowed = (network: TestNetwork, wiped: string) => listVoterSets(network).every(voters =>
	voters.filter(({node, storeId}) => node !== wiped && network.getStoreId(node) === storeId).length > voters.length / 2);

const createChecks = (network: TestNetwork) => {
	let commitIndex = 0;
	let committedAtMs = 0;
	let ableSinceMs = 0;
	let repairableSinceMs = 0;

	const isVoterHealthy = ({node, storeId}: VoterIdentity) => network.isHealthy(node) && network.getStoreId(node) === storeId;
	// The largest group whose members are all linked: faults cut off single nodes or none.
	const listConnected = () => {
		const healthy = names.filter(name => network.isHealthy(name));
		return healthy.filter(name => healthy.every(other => other === name || network.isLinked(name, other)));
	};

	return () => {
		const nowMs = network.getNowMs();
		const connected = listConnected();
		const sets = listVoterSets(network);
		const isAble = sets.every(voters => voters.filter(voter => isVoterHealthy(voter) && connected.includes(voter.node)).length > voters.length / 2);
		ableSinceMs = isAble ? ableSinceMs : nowMs;
		const newest = Math.max(...names.map(name => network.getState(name).commitIndex));
		if (newest > commitIndex) {
			commitIndex = newest;
			committedAtMs = nowMs;
		}

		expect(nowMs - Math.max(ableSinceMs, committedAtMs), `ms without a commit at ${nowMs}`).toBeLessThan(progressTimeoutMs);
		const areVotersWell = sets.every(voters => voters.length === wantedVoters && voters.every(voter => isVoterHealthy(voter) && connected.includes(voter.node)));
		const isRepairable = isAble && connected.length >= wantedVoters && !areVotersWell;
		repairableSinceMs = isRepairable ? repairableSinceMs : nowMs;
		expect(nowMs - repairableSinceMs, `ms without a repair at ${nowMs}`).toBeLessThan(repairTimeoutMs);
	};
};

test('whenever a majority of the voters is well, a leader soon commits, and a set of voters that can be repaired is repaired', async () => {
	let commits = 0;
	await fc.assert(fc.asyncProperty(
		fc.array(anyAction, {minLength: 5, maxLength: 25}),
		fc.nat(1_000_000),
		async (actions, networkSeed) => {
			// Yields to the event loop, because long runs would block the test runner's own messages.
			await setImmediate();
			const network = createTestNetwork({nodes, seed: networkSeed, limits: {...controlHostReplicaLimits, snapshotEveryEntries: 60, trailingEntries: 20}});
			const {run} = createMaintainedNetwork({network, names, wantedVoters});
			const check = createChecks(network);
			run(3000, check);
			for (const action of actions) {
				switch (action.type) {
					case 'run': {
						run(action.durationMs, check);
						break;
					}

					case 'heal': {
						network.heal();
						break;
					}

					case 'isolate': {
						network.heal();
						network.isolate([action.node]);
						break;
					}

					case 'transfer': {
						network.transferLeadership(network.getLeader() ?? action.node, action.node);
						break;
					}

					case 'wipe': {
						if (isWipeAllowed(network, action.node)) {
							network.wipe(action.node);
						}

						break;
					}

					case 'crash':
					case 'restart':
					case 'fillDisk':
					case 'freeDisk': {
						network[action.type](action.node);
					}
				}
			}

			network.heal();
			run(16_000, check);
			commits += Math.max(...names.map(name => network.getState(name).commitIndex));
		},
	), {seed, numRuns: numberRuns});
	// The property would hold as well if no majority was ever well.
	expect(commits).toBeGreaterThan(numberRuns * 50);
});
