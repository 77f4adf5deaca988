import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getItemCount} from '../collections/sorted-set.js';
import {getWaitingCount} from './pool-teams.js';
import type {JobsState} from './state.js';
import {createJobsSimulation, type JobsSimulation, type SimulationAction} from './test-world.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 7);
const runCount = Number(process.env.SAMPHIREMILL_RUNS ?? 150);

const kinds: ReadonlyArray<{readonly arbitrary: fc.Arbitrary<SimulationAction['kind']>; readonly weight: number}> = [
	{arbitrary: fc.constant('deliver'), weight: 30},
	{arbitrary: fc.constantFrom('submit', 'claim', 'record'), weight: 30},
	{arbitrary: fc.constantFrom('send', 'answer'), weight: 16},
	{arbitrary: fc.constantFrom('fail', 'breakAnswer', 'stop', 'end'), weight: 14},
	{arbitrary: fc.constantFrom('cancel', 'advance', 'minion', 'limit', 'lease', 'elsewhere'), weight: 14},
];

const actionLists = fc.array(
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

/**
 * Lists running attempts without a reservation. Every attempt that really runs must hold its slot and
 * its part of the limit.
 */
function listUnreservedAttempts(simulation: JobsSimulation): readonly string[] {
	const {reservations} = simulation.getState();
	return simulation.listAttempts()
		.filter(({job, attempt, hasEnded}) => !hasEnded && !reservations.has(`${job}#${attempt}`))
		.map(({job, attempt}) => `${job}#${attempt} runs without a reservation`);
}

function compareCounts(name: string, stored: number, counted: number): readonly string[] {
	return stored === counted ? [] : [`${name}: ${stored} stored, ${counted} counted`];
}

/** Lists incrementally maintained counts that differ from a full recount. */
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

/** Lists pools with a waiting job although its team may run it and a minion is ready. */
function listUnplacedPools(state: JobsState): readonly string[] {
	return [...state.pools]
		.filter(([, {ready, order}]) => getItemCount(ready) > 0 && getItemCount(order.all) > 0)
		.map(([pool]) => `${pool} has waiting jobs and ready minions`);
}

function listViolations(simulation: JobsSimulation): readonly string[] {
	return [
		...simulation.listViolations(),
		...listUnreservedAttempts(simulation),
		...listWrongCounts(simulation.getState()),
		...listUnplacedPools(simulation.getState()),
	];
}

function runActions(actions: readonly SimulationAction[]): JobsSimulation {
	const simulation = createJobsSimulation();
	for (const action of actions) {
		simulation.act(action);
		const violations = listViolations(simulation);
		if (violations.length > 0) {
			throw new Error(violations.join('\n'));
		}
	}

	simulation.drain();
	return simulation;
}

test('for any order of events, each job gets one correct outcome and at most one run, no limit is exceeded, and nothing leaks', () => {
	let placedCount = 0;
	fc.assert(fc.property(actionLists, actions => {
		const simulation = runActions(actions);
		placedCount += simulation.getPlacedCount();
		expect(listViolations(simulation)).toEqual([]);
		const ids = simulation.listSubmitted().map(({job}) => job);
		expect(simulation.listFinished().map(({spec}) => spec.job).toSorted()).toEqual(ids.toSorted());
		expect(simulation.getState().jobs.size).toBe(0);
		expect(simulation.getState().reservations.size).toBe(0);
	}), {seed, numRuns: runCount});
	// Runs in which no job is placed would not check anything.
	expect(placedCount).toBeGreaterThan(runCount);
});
