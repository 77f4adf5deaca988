import {toBrand, type DataCentreId, type TeamId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	applyEscrowCommand, createTeamGrantsState, getGrantedTotal, getTeamGrant, listTeamBounds,
} from './apply-escrow-command.js';
import {planTeamLimitGrants} from './plan-team-limit-grants.js';
import type {EscrowCommand, TeamGrantsState, TeamLimitReport} from './types.js';

const team = toBrand<TeamId>('team');
const dataCentres = ['dc0', 'dc1', 'dc2'].map(name => toBrand<DataCentreId>(name));
const views = dataCentres.map(dataCentre => ({dataCentre, epoch: 1, members: []}));
const [first = toBrand<DataCentreId>('dc0')] = dataCentres;

function apply(state: TeamGrantsState, command: EscrowCommand, limit: number): TeamGrantsState {
	const applied = applyEscrowCommand(state, command, {getTeamLimit: () => limit, getViewEpoch: () => 1});
	return applied.ok ? applied.value : state;
}

const anyCommand = fc.record({
	type: fc.constantFrom('escrow/grantTeamLimit' as const, 'escrow/recallTeamLimit' as const, 'escrow/returnTeamLimit' as const),
	dataCentre: fc.constantFrom(...dataCentres),
	value: fc.integer({min: -1, max: 12}),
	viewEpoch: fc.integer({min: 1, max: 2}),
	staleBy: fc.nat(1),
	limit: fc.nat(12),
});

test('charged amounts grow only within the limit, whatever commands come, stale ones too', () => {
	fc.assert(fc.property(fc.array(anyCommand, {maxLength: 60}), steps => {
		let state = createTeamGrantsState();
		for (const {type, dataCentre, value, viewEpoch, staleBy, limit} of steps) {
			const grant = getTeamGrant(state, {team, dataCentre});
			const before = getGrantedTotal(state, team);
			state = apply(state, {
				type, team, dataCentre, expectedVersion: grant.version - staleBy, amount: value, target: value, viewEpoch,
			}, limit);
			expect(getGrantedTotal(state, team)).toBeLessThanOrEqual(Math.max(limit, before));
			const after = getTeamGrant(state, {team, dataCentre});
			expect(after.target).toBeLessThanOrEqual(after.amount);
			expect(after.amount >= grant.target || type !== 'escrow/returnTeamLimit').toBe(true);
			expect(staleBy === 1 && grant.version > 0 ? after : grant).toEqual(grant);
		}
	}), {seed: 1});
});

type Simulation = {readonly state: TeamGrantsState; readonly running: ReadonlyMap<DataCentreId, number>};

/** One round: homes use what they may, end what they may no longer, and report; the leader plans. */
function runRound({state, running}: Simulation, {wanted, limit}: {readonly wanted: ReadonlyMap<DataCentreId, number>; readonly limit: number}): Simulation {
	const bounds = new Map(dataCentres.map(dataCentre => [dataCentre, listTeamBounds(state, {dataCentre, teams: [team]})[0]]));
	const used = new Map(dataCentres.map(dataCentre => {
		const now = running.get(dataCentre) ?? 0;
		const goal = Math.min(wanted.get(dataCentre) ?? 0, bounds.get(dataCentre)?.amount ?? 0);
		return [dataCentre, goal > now ? goal : Math.max(goal, now - 1)];
	}));
	let total = 0;
	for (const count of used.values()) {
		total += count;
	}

	expect(total).toBeLessThanOrEqual(getGrantedTotal(state, team));
	const reports = dataCentres.map((dataCentre): TeamLimitReport => ({
		team,
		dataCentre,
		viewEpoch: 1,
		version: bounds.get(dataCentre)?.version ?? 0,
		wanted: wanted.get(dataCentre) ?? 0,
		charged: Math.max(used.get(dataCentre) ?? 0, bounds.get(dataCentre)?.amount ?? 0),
	}));
	let next = state;
	for (const command of planTeamLimitGrants({
		state, limits: [{team, limit}], views, reports,
	})) {
		next = apply(next, command, limit);
	}

	return {state: next, running: used};
}

test('grants follow the demand between data centres, and a lowered limit is reached once jobs have ended', () => {
	let simulation: Simulation = {state: createTeamGrantsState(), running: new Map()};
	const run = (demand: readonly number[], limit: number) => {
		const wanted = new Map(dataCentres.map((dataCentre, index) => [dataCentre, demand[index] ?? 0]));
		for (let round = 0; round < 30; round += 1) {
			simulation = runRound(simulation, {wanted, limit});
		}

		return dataCentres.map(dataCentre => simulation.running.get(dataCentre));
	};

	expect(run([0, 0, 0], 10)).toEqual([0, 0, 0]);
	expect(run([20, 0, 0], 10)).toEqual([10, 0, 0]);
	expect(run([20, 20, 3], 10)).toEqual([4, 3, 3]);
	expect(run([0, 2, 20], 10)).toEqual([0, 2, 8]);
	expect(run([20, 20, 20], 6)).toEqual([2, 2, 2]);
	expect(getGrantedTotal(simulation.state, team)).toBe(6);
});

test('a grant is not returned on the word of a home under another view', () => {
	const limit = 4;
	let state = apply(createTeamGrantsState(), {
		type: 'escrow/grantTeamLimit', team, dataCentre: first, expectedVersion: 0, amount: 4,
	}, limit);
	state = apply(state, {
		type: 'escrow/recallTeamLimit', team, dataCentre: first, expectedVersion: 1, target: 1,
	}, limit);
	const back = {
		type: 'escrow/returnTeamLimit' as const, team, dataCentre: first, expectedVersion: 2, amount: 1,
	};
	expect(apply(state, {...back, viewEpoch: 2}, limit)).toBe(state);
	expect(getGrantedTotal(apply(state, {...back, viewEpoch: 1}, limit), team)).toBe(1);
});
