import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getItemCount} from '../collections/sorted-set.js';
import {getWaitingCount} from './pool-teams.js';
import type {JobsState} from './state.js';
import {createWorld, type World, type WorldAction} from './test-world.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 7);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 150);

const kinds: ReadonlyArray<{readonly arbitrary: fc.Arbitrary<WorldAction['kind']>; readonly weight: number}> = [
	{arbitrary: fc.constant('deliver'), weight: 30},
	{arbitrary: fc.constantFrom('submit', 'claim', 'record'), weight: 30},
	{arbitrary: fc.constantFrom('send', 'answer'), weight: 16},
	{arbitrary: fc.constantFrom('fail', 'breakAnswer', 'stop', 'end'), weight: 14},
	{arbitrary: fc.constantFrom('cancel', 'advance', 'minion', 'limit', 'lease', 'elsewhere'), weight: 14},
];

const walks = fc.array(
	fc.record({kind: fc.oneof(...kinds), pick: fc.nat(1000), flag: fc.boolean()}),
	{minLength: 20, maxLength: 250, size: 'max'},
);

function sum(numbers: Iterable<number>): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}

/** What is charged covers what really runs: slots of each minion, and the limits of teams. */
function listUnreservedAttempts(world: World): readonly string[] {
	const {reservations} = world.getState();
	return world.listAttempts()
		.filter(({job, attempt, hasEnded}) => !hasEnded && !reservations.has(`${job}#${attempt}`))
		.map(({job, attempt}) => `${job}#${attempt} runs uncharged`);
}

function compareCounts(name: string, stored: number, counted: number): readonly string[] {
	return stored === counted ? [] : [`${name}: ${stored} kept, ${counted} counted`];
}

/** Counts that are kept up step by step equal what they are counted from. */
function listWrongCounts(state: JobsState): readonly string[] {
	const reservations = [...state.reservations.values()];
	const ofMinions = [...state.minions.values()].flatMap(({info, usedSlots, usedConnections}) => {
		const own = reservations.filter(other => other.minion === info.minion && other.incarnation === info.incarnation);
		const connected = own.filter(({hasConnection}) => hasConnection);
		return [
			...compareCounts(`slots of ${info.minion}`, usedSlots, own.length),
			...compareCounts(`connections of ${info.minion}`, usedConnections, connected.length),
		];
	});
	const ofTeams = [...state.teams].flatMap(([team, {running}]) => (
		compareCounts(`running of ${team}`, running, reservations.filter(other => other.team === team).length)
	));
	const waiting = [...state.jobs.values()].filter(({type}) => type === 'queued');
	const storedCount = sum([...state.pools.values()].flatMap(({teams}) => [...teams.values()].map(team => getWaitingCount(team))));
	return [
		...ofMinions,
		...ofTeams,
		...compareCounts('waiting', storedCount, waiting.length),
		...compareCounts('timers', getItemCount(state.timers), state.jobs.size),
	];
}

/** No job waits while its team may run it and a minion has room. */
function listUnplacedPools(state: JobsState): readonly string[] {
	return [...state.pools]
		.filter(([, {ready, order}]) => getItemCount(ready) > 0 && getItemCount(order.all) > 0)
		.map(([pool]) => `${pool} has work and room`);
}

function listViolations(world: World): readonly string[] {
	return [
		...world.listViolations(),
		...listUnreservedAttempts(world),
		...listWrongCounts(world.getState()),
		...listUnplacedPools(world.getState()),
	];
}

function walk(actions: readonly WorldAction[]): World {
	const world = createWorld();
	for (const action of actions) {
		world.act(action);
		const violations = listViolations(world);
		if (violations.length > 0) {
			throw new Error(violations.join('\n'));
		}
	}

	world.drain();
	return world;
}

test('in any order of events: one truthful outcome a job, at most one run, no bound passed, nothing lost', () => {
	let placedCount = 0;
	fc.assert(fc.property(walks, actions => {
		const world = walk(actions);
		placedCount += world.getPlacedCount();
		expect(listViolations(world)).toEqual([]);
		const ids = world.listSubmitted().map(({job}) => job);
		expect(world.listFinished().map(({spec}) => spec.job).toSorted()).toEqual(ids.toSorted());
		expect(world.getState().jobs.size).toBe(0);
		expect(world.getState().reservations.size).toBe(0);
	}), {seed, numRuns: numberRuns});
	// A walk that places nothing would prove nothing.
	expect(placedCount).toBeGreaterThan(numberRuns);
});
