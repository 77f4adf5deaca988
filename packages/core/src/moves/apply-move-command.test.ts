import {
	toBrand, type NodeId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {expect, test} from 'vitest';
import type {HostOwnership, WorkerRecord} from '../control/types.js';
import {createWavesState} from '../waves/waves-state.js';
import type {WavesState} from '../waves/types.js';
import {applyMoveCommand} from './apply-move-command.js';
import {defaultMovesConfig} from './constants.js';
import {createMovesState} from './moves-state.js';
import {createDemandState, reduceDemand} from './reduce-demand.js';
import type {MoveCommand, MoveContext, MovesState} from './types.js';

const from = toBrand<PoolId>('pool-from');
const to = toBrand<PoolId>('pool-to');
const node = toBrand<NodeId>('node-0');
const ids = ['worker-0', 'worker-1', 'worker-2'].map(id => toBrand<WorkerId>(id));
const [worker = toBrand<WorkerId>('worker-0'), other = worker] = ids;

type Scenario = {
	readonly command?: MoveCommand;
	readonly moves?: MovesState;
	readonly owners?: readonly HostOwnership[];
	readonly waves?: Partial<WavesState>;
	readonly budget?: number;
	readonly fleetBound?: number;
	readonly members?: readonly NodeId[];
};

const release: MoveCommand = {
	type: 'moves/beginRelease', worker, to, expectedEpoch: 1, reason: 'lend', observationRevision: 0, atMs: toBrand(5000),
};
const releasing: HostOwnership = {worker, epoch: 2, phase: {type: 'releasing', pool: from, to}};
const moving: MovesState = {
	moves: [{
		worker, epoch: 2, from, to, reason: 'lend', isDrained: false, entryHosts: [node], startedAtMs: toBrand(5000),
	}],
};
const drained: MovesState = {moves: moving.moves.map(move => ({...move, isDrained: true}))};

/** Applies a release of the first host, changed as the situation says. */
function apply({command = release, moves = createMovesState(), owners = [], waves = {}, budget = 1, fleetBound = 7, members = [node]}: Scenario) {
	const changed = new Map(owners.map(owner => [owner.worker, owner]));
	const context: MoveContext = {
		records: {
			pools: [
				{
					kind: 'pool', id: from, maximumUnavailableHosts: budget, isSpare: true,
				},
				{
					kind: 'pool', id: to, maximumUnavailableHosts: 1, isSpare: false,
				},
			],
			waves: [],
			workers: ids.map((id): WorkerRecord => ({
				kind: 'worker', id, dataCentre: toBrand('dc-0'), rack: toBrand('rack-0'), cores: 32, memoryMb: 65_536, accelerators: 0, homePool: from,
			})),
			ownership: ids.map(id => changed.get(id) ?? {worker: id, epoch: 1, phase: {type: 'member', pool: from}}),
		},
		waves: {...createWavesState(), ...waves},
		views: [{dataCentre: toBrand('dc-0'), epoch: 1, members}],
		maximumHostsAsideFleetWide: fleetBound,
	};
	const {answer, ownership} = applyMoveCommand({state: moves, command, context});
	return {answer, ownership};
}

const silent = (id: WorkerId) => ({unavailable: [{worker: id, condition: 'silent' as const}]});
const acknowledge = (nodes: readonly NodeId[]): MoveCommand => ({
	type: 'moves/hostDrained', worker, epoch: 2, acknowledgedBy: nodes, expired: [],
});

test('each condition is checked again when a command is applied', () => {
	expect({
		fresh: apply({}),
		otherDown: apply({waves: silent(other)}),
		otherMoving: apply({owners: [{...releasing, worker: other}]}),
		fleetBound: apply({owners: [{...releasing, worker: other}], budget: 2, fleetBound: 1}),
		down: apply({waves: silent(worker), budget: 2}),
		staleObservation: apply({waves: {observationRevision: 3}}),
		staleEpoch: apply({command: {...release, expectedEpoch: 0}}),
		alreadyMoving: apply({owners: [releasing], moves: moving}),
		samePool: apply({command: {...release, to: from}}),
		unknownPool: apply({command: {...release, to: toBrand('pool-9')}}),
		drainedUnacknowledged: apply({owners: [releasing], moves: moving, command: acknowledge([])}),
		drainedWithNewMember: apply({
			owners: [releasing], moves: moving, command: acknowledge([node]), members: [node, toBrand('node-1')],
		}),
		drained: apply({owners: [releasing], moves: moving, command: acknowledge([node])}),
		adoptUndrained: apply({owners: [releasing], moves: moving, command: {type: 'moves/adopt', worker, epoch: 2}}),
		adoptOfOldMove: apply({owners: [releasing], moves: drained, command: {type: 'moves/adopt', worker, epoch: 1}}),
		adoptDown: apply({
			owners: [releasing], moves: drained, waves: silent(worker), command: {type: 'moves/adopt', worker, epoch: 2},
		}),
		adopt: apply({owners: [releasing], moves: drained, command: {type: 'moves/adopt', worker, epoch: 2}}),
		cancel: apply({owners: [releasing], moves: moving, command: {type: 'moves/cancel', worker, epoch: 2}}),
	}).toMatchSnapshot();
});

test('between the two bounds a pool neither borrows nor gives back', () => {
	const observe = (demandSlots: number) => {
		const {demandSlots: _, ...pool} = reduceDemand(createDemandState(), {
			type: 'moves/demandObserved', nowMs: 1000, pools: [{pool: to, demandSlots, capacitySlots: 64}],
		}, defaultMovesConfig).pools[0] ?? {demandSlots};
		return pool;
	};

	expect(observe(55)).toMatchObject({aboveSinceMs: 1000});
	expect(observe(54)).toEqual({pool: to, capacitySlots: 64});
	expect(observe(34)).toEqual({pool: to, capacitySlots: 64});
	expect(observe(33)).toMatchObject({belowSinceMs: 1000});
});
