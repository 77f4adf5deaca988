import process from 'node:process';
import {
	toBrand, type NodeId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {HostOwnership, WorkerRecord} from '../control/types.js';
import type {PlatformHost, WavesState} from '../waves/types.js';
import {createWavesState} from '../waves/waves-state.js';
import {applyMoveCommand} from './apply-move-command.js';
import {defaultMovesConfig} from './constants.js';
import {createMovesState} from './moves-state.js';
import {planMoves} from './plan-moves.js';
import {createDemandState, reduceDemand} from './reduce-demand.js';
import {getServingPool} from './serving-pool.js';
import {trackReleases} from './track-releases.js';
import type {MoveCommand, MoveContext, ObservedRelease} from './types.js';

const runOptions = {
	seed: Number(process.env.SAMPHIREMILL_SEED ?? 7),
	numRuns: Number(process.env.SAMPHIREMILL_RUNS ?? 300),
};
const sparePool = toBrand<PoolId>('pool-spare');
const regularPool = toBrand<PoolId>('pool-desk');
const nodes = ['node-0', 'node-1', 'node-2'].map(id => toBrand<NodeId>(id));
const leaseMs = 3000;
const cfg = {
	...defaultMovesConfig, lendHoldMs: 0, takeBackHoldMs: 0, smoothingMs: 1,
	leaseWaitMs: leaseMs,
};

const workers = Array.from({length: 6}, (_, index): WorkerRecord => ({
	kind: 'worker',
	id: toBrand(`worker-${index}`),
	dataCentre: toBrand('dc-0'),
	rack: toBrand(`rack-${Math.floor(index / 2)}`),
	cores: 32,
	memoryMb: 65_536,
	accelerators: 0,
	homePool: index < 3 ? sparePool : regularPool,
}));

/** An entry host with the owners that it knows, and when it last renewed its lease. */
type EntryHost = {applied: number; owners: ReadonlyMap<WorkerId, HostOwnership>; renewedAtMs: number; isCut: boolean};

class MoveSimulation {
	nowMs = 10_000;
	moves = createMovesState();
	waves: WavesState = createWavesState();
	demand = createDemandState();
	owners: ReadonlyMap<WorkerId, HostOwnership> = new Map(workers.map(({id, homePool}) =>
		[id, {worker: id, epoch: 1, phase: {type: 'member', pool: homePool}}]));

	members: readonly NodeId[] = nodes;
	releases: readonly ObservedRelease[] = [];
	readonly log: Array<ReadonlyMap<WorkerId, HostOwnership>> = [this.owners];
	readonly history: MoveCommand[] = [];
	/** Hosts on which work dispatched under the old pool still runs. */
	readonly busy = new Set<WorkerId>();
	readonly entryHosts = new Map(nodes.map((node): [NodeId, EntryHost] =>
		[node, {
			applied: 0, owners: this.owners, renewedAtMs: this.nowMs, isCut: false,
		}]));

	get context(): MoveContext {
		return {
			records: {
				pools: [
					{
						kind: 'pool', id: sparePool, maximumUnavailableHosts: 2, isSpare: true,
					},
					{
						kind: 'pool', id: regularPool, maximumUnavailableHosts: 1, isSpare: false,
					},
				],
				waves: [],
				workers,
				ownership: [...this.owners.values()],
			},
			waves: this.waves,
			views: [{dataCentre: toBrand('dc-0'), epoch: 1, members: this.members}],
			maximumHostsAsideFleetWide: 7,
		};
	}

	plan(): readonly MoveCommand[] {
		this.releases = trackReleases({
			releases: this.releases, moves: this.moves, appliedIndex: this.log.length - 1, nowMs: this.nowMs,
		});
		return planMoves({
			moves: this.moves,
			context: this.context,
			demand: this.demand,
			platform: this.moves.moves.map(({worker}): PlatformHost =>
				({worker, intake: 'closed', runningTasks: this.busy.has(worker) ? 1 : 0})),
			entryHosts: [...this.entryHosts].map(([node, host]) => ({
				node, dataCentre: toBrand('dc-0'), appliedIndex: host.applied,
			})),
			releases: this.releases,
			nowMs: this.nowMs,
			atMs: toBrand(this.nowMs),
			cfg,
		});
	}

	commit(command: MoveCommand): void {
		this.history.push(command);
		const {state, ownership} = applyMoveCommand({state: this.moves, command, context: this.context});
		this.moves = state;
		if (ownership !== undefined) {
			this.owners = new Map(this.owners).set(ownership.worker, ownership);
		}

		this.log.push(this.owners);
	}

	deliver(node: NodeId): void {
		const host = this.entryHosts.get(node);
		const owners = this.log.at(-1);
		if (host !== undefined && owners !== undefined && !host.isCut) {
			Object.assign(host, {applied: this.log.length - 1, owners, renewedAtMs: this.nowMs});
		}
	}

	/** The pools under which some entry host would dispatch to the worker at this moment. */
	getPoolsInUse(worker: WorkerId): ReadonlySet<PoolId> {
		return new Set([...this.entryHosts.values()]
			.filter(({renewedAtMs}) => this.nowMs - renewedAtMs <= leaseMs)
			.map(({owners}) => owners.get(worker)?.phase)
			.filter(phase => phase?.type === 'member')
			.map(({pool}) => pool));
	}
}

const operation = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('plan' as const)})},
	{weight: 6, arbitrary: fc.record({type: fc.constant('deliver' as const), node: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cut' as const), node: fc.nat(2), isCut: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('wait' as const), durationMs: fc.integer({min: 100, max: 2500})})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('demand' as const), slots: fc.constantFrom(0, 30)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('work' as const), worker: fc.nat(5), isBusy: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('repeat' as const), age: fc.integer({min: 1, max: 20})})},
	// The view drops a member that may be cut off and go on dispatching.
	{weight: 1, arbitrary: fc.record({type: fc.constant('view' as const), size: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('newLeader' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('down' as const), worker: fc.nat(6)})},
	// A claim without evidence, and an adoption that no planner would give.
	{weight: 2, arbitrary: fc.record({type: fc.constant('adopt' as const)})},
);

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;

function runOperation(world: MoveSimulation, item: Operation): void {
	switch (item.type) {
		case 'plan': {
			for (const command of world.plan()) {
				world.commit(command);
			}

			break;
		}

		case 'deliver': {
			world.deliver(toBrand(`node-${item.node}`));
			break;
		}

		case 'cut': {
			const host = world.entryHosts.get(toBrand(`node-${item.node}`));
			Object.assign(host ?? {}, {isCut: item.isCut});
			break;
		}

		case 'wait': {
			world.nowMs += item.durationMs;
			break;
		}

		case 'demand': {
			world.demand = reduceDemand(world.demand, {
				type: 'moves/demandObserved', nowMs: world.nowMs + 10, pools: [{pool: regularPool, demandSlots: item.slots, capacitySlots: 24}],
			}, cfg);
			break;
		}

		case 'work': {
			const worker = toBrand<WorkerId>(`worker-${item.worker}`);
			// New work starts only where some entry host still dispatches; running work may end at any time.
			if (!item.isBusy || world.getPoolsInUse(worker).size === 0) {
				world.busy.delete(worker);
			} else {
				world.busy.add(worker);
			}

			break;
		}

		case 'repeat': {
			for (const command of world.history.slice(-item.age).slice(0, 1)) {
				world.commit(command);
			}

			break;
		}

		case 'view': {
			world.members = nodes.slice(0, item.size);
			break;
		}

		case 'newLeader': {
			world.releases = [];
			break;
		}

		case 'down': {
			const unavailable = item.worker > 5 ? [] : [{worker: toBrand<WorkerId>(`worker-${item.worker}`), condition: 'silent' as const}];
			world.waves = {...world.waves, unavailable, observationRevision: world.waves.observationRevision + 1};
			break;
		}

		case 'adopt': {
			for (const {worker, epoch} of world.moves.moves) {
				world.commit({
					type: 'moves/hostDrained', worker, epoch, acknowledgedBy: [], expired: [],
				});
				world.commit({type: 'moves/adopt', worker, epoch});
			}

			break;
		}
	}
}

function checkInvariants(world: MoveSimulation, before: ReadonlyMap<WorkerId, HostOwnership>): void {
	for (const {id} of workers) {
		expect(world.getPoolsInUse(id).size).toBeLessThanOrEqual(1);
		const was = before.get(id);
		const is = world.owners.get(id);
		if (was?.phase.pool !== is?.phase.pool) {
			expect(was?.phase.type).toBe('releasing');
			expect(world.busy.has(id)).toBe(false);
		}
	}

	for (const {id, maximumUnavailableHosts} of world.context.records.pools) {
		const releasing = [...world.owners.values()].filter(({phase}) => phase.type === 'releasing' && phase.pool === id);
		expect(releasing.length).toBeLessThanOrEqual(maximumUnavailableHosts);
	}
}

test('a host serves one pool at any moment, whichever entry host is late, cut off or dropped from the view', () => {
	let adoptions = 0;
	fc.assert(fc.property(fc.array(operation, {minLength: 20, maxLength: 120}), operations => {
		const world = new MoveSimulation();
		for (const item of operations) {
			const before = world.owners;
			runOperation(world, item);
			checkInvariants(world, before);
		}

		adoptions += [...world.owners.values()].filter(({epoch}) => epoch > 2).length;
	}), runOptions);
	expect(adoptions).toBeGreaterThan(0);
});

test('a spare host is lent under lasting pressure, stays for a while, and is taken back when it is calm', () => {
	const world = new MoveSimulation();
	const transcript: string[] = [];
	const run = (slots: number) => {
		world.nowMs += 1000;
		world.demand = reduceDemand(world.demand, {
			type: 'moves/demandObserved', nowMs: world.nowMs, pools: [{pool: regularPool, demandSlots: slots, capacitySlots: 24}],
		}, cfg);
		for (const command of world.plan()) {
			transcript.push(`${world.nowMs} ${command.type} ${command.worker}${'to' in command ? ` to ${command.to}` : ''}`);
			world.commit(command);
		}

		for (const node of nodes) {
			world.deliver(node);
		}
	};

	for (const slots of [24, 24, 24, 24, 12, 12, 2, 2, 2, 2, 2]) {
		run(slots);
	}

	expect(transcript).toMatchSnapshot();
});

test('an entry host with old records dispatches to a moved minion under neither pool', () => {
	const ownership: HostOwnership = {worker: toBrand('worker-0'), epoch: 1, phase: {type: 'member', pool: sparePool}};
	expect(getServingPool({ownership, announcedPool: sparePool})).toBe(sparePool);
	expect(getServingPool({ownership, announcedPool: regularPool})).toBeUndefined();
	expect(getServingPool({ownership: {...ownership, phase: {type: 'releasing', pool: sparePool, to: regularPool}}, announcedPool: sparePool})).toBeUndefined();
});
