/**
 * Measures the cost of idle spare hosts, the number of host moves and the start delays of jobs for several settings of
 * lending, on one seeded trace per load.
 *
 * Run: `node bench/dist/buffers.js`.
 */
import process from 'node:process';
import {
	createSeededRandom, toBrand, type NodeId, type PoolId, type WorkerId,
} from '@samphiremill/common';
import {
	applyMoveCommand, createDemandState, createMovesState, createWavesState, defaultMovesConfig, planMoves, reduceDemand, trackReleases,
	type HostOwnership, type MoveContext, type MovesConfig, type PoolRecord, type ObservedRelease, type WorkerRecord,
} from '@samphiremill/core';

/** A load on all pools, and the hosts that are out of service during it. */
type Load = {
	readonly name: string;
	/** Returns the arrival rate of a pool's queue at the given time, as a multiple of its mean rate. */
	readonly getRateFactor: (poolIndex: number, nowMs: number) => number;
	/** Returns how many hosts of each pool are out of service for a maintenance wave. */
	readonly countHostsOutOfService: (nowMs: number) => number;
};

/** How spare hosts are used: `never` keeps them idle, `spread` adds them to the other pools for good, and a configuration lends them on demand. */
type Policy = {readonly name: string; readonly cfg: MovesConfig | 'never' | 'spread'};

type SimulatedPool = {
	readonly pool: PoolId;
	readonly queue: number[];
	/** End time of each running job, in milliseconds. */
	running: number[];
};

type Result = {
	readonly idleSlotSeconds: number;
	readonly moves: number;
	readonly startDelaysMs: readonly number[];
};

const secondMs = 1000;
const simulationStepMs = 100;
const planIntervalMs = secondMs;
const durationMs = 2 * 3600 * secondMs;
const poolCount = 4;
const hostsPerPool = 8;
const spareHosts = 4;
const slotsPerHost = 8;
const meanRunTimeMs = 2 * secondMs;
const drainDurationMs = 6 * secondMs;
/** Fraction of a pool's own slots that are busy at its mean rate. */
const meanUtilisation = 0.45;
const maximumStartDelayMs = 1400;

const sparePool = toBrand<PoolId>('pool-spare');
const getPoolId = (index: number) => toBrand<PoolId>(`pool-${index}`);

const burstDurationMs = 8 * secondMs;
const quietDurationMs = 30 * secondMs;

/** The queues burst in turn: five times the mean rate for `burstDurationMs`, then a twentieth for `quietDurationMs`, then the mean rate. */
const getBurstFactor = (poolIndex: number, nowMs: number) => {
	const phaseMs = ((nowMs + (poolIndex * 60 * secondMs)) % (poolCount * 60 * secondMs));
	if (phaseMs < burstDurationMs) {
		return 5;
	}

	return phaseMs < burstDurationMs + quietDurationMs ? 0.05 : 1;
};

const surgeDurationMs = 15 * 60 * secondMs;
const waveStartMs = 20 * 60 * secondMs;
const waveEndMs = 100 * 60 * secondMs;

const loads: readonly Load[] = [
	{name: 'bursts', getRateFactor: getBurstFactor, countHostsOutOfService: () => 0},
	{
		name: 'bursts during a wave that holds one host of each desk aside for 80 of 120 minutes',
		getRateFactor: getBurstFactor,
		countHostsOutOfService: nowMs => nowMs >= waveStartMs && nowMs < waveEndMs ? 1 : 0,
	},
	{
		name: 'bursts and a surge of 15 min at 2.4 times the mean on one desk each half hour',
		getRateFactor(poolIndex, nowMs) {
			const periodIndex = Math.floor(nowMs / (2 * surgeDurationMs));
			const isSurge = nowMs % (2 * surgeDurationMs) < surgeDurationMs && periodIndex % poolCount === poolIndex;
			return getBurstFactor(poolIndex, nowMs) * (isSurge ? 2.4 : 1);
		},
		countHostsOutOfService: () => 0,
	},
];

const createLendingConfig = (cfg: Partial<MovesConfig>): MovesConfig => ({...defaultMovesConfig, reserveHosts: 0, ...cfg});

const policies: readonly Policy[] = [
	{name: 'spare held, never lent', cfg: 'never'},
	{name: 'spare spread over the desks for good', cfg: 'spread'},
	...[1, 10, 60].flatMap(smoothingSeconds => [0, 10, 30, 60].flatMap(lendHoldSeconds => [30, 300].map((takeBackHoldSeconds): Policy => ({
		name: `smoothing ${smoothingSeconds} s, lend after ${lendHoldSeconds} s, take back after ${takeBackHoldSeconds} s`,
		cfg: createLendingConfig({smoothingMs: smoothingSeconds * secondMs, lendHoldMs: lendHoldSeconds * secondMs, takeBackHoldMs: takeBackHoldSeconds * secondMs}),
	})))),
];

const workers: readonly WorkerRecord[] = Array.from({length: (poolCount * hostsPerPool) + spareHosts}, (_, index) => ({
	kind: 'worker',
	id: toBrand(`worker-${String(index).padStart(2, '0')}`),
	dataCentre: toBrand('dc-0'),
	rack: toBrand(`rack-${Math.floor(index / 4)}`),
	cores: 32,
	memoryMb: 65_536,
	accelerators: 0,
	homePool: index < poolCount * hostsPerPool ? getPoolId(index % poolCount) : sparePool,
}));

const pools: readonly PoolRecord[] = [
	...Array.from({length: poolCount}, (_, index): PoolRecord => ({
		kind: 'pool', id: getPoolId(index), maximumUnavailableHosts: 1, isSpare: false,
	})),
	{
		kind: 'pool', id: sparePool, maximumUnavailableHosts: spareHosts, isSpare: true,
	},
];

const simulateLoad = (load: Load, policy: Policy): Result => {
	const random = createSeededRandom(11);
	let owners: ReadonlyMap<WorkerId, HostOwnership> = new Map(workers.map(({id, homePool}, index) => {
		const pool = policy.cfg === 'spread' && homePool === sparePool ? getPoolId(index % poolCount) : homePool;
		return [id, {worker: id, epoch: 1, phase: {type: 'member' as const, pool}}];
	}));
	const simulatedPools = Array.from({length: poolCount}, (_, index): SimulatedPool => ({pool: getPoolId(index), queue: [], running: []}));
	const cfg = typeof policy.cfg === 'string' ? undefined : policy.cfg;
	const startDelaysMs: number[] = [];
	let demand = createDemandState();
	let moves = createMovesState();
	let releases: readonly ObservedRelease[] = [];
	let idleSlotSeconds = 0;
	let moveCount = 0;

	const countHosts = (pool: PoolId) => [...owners.values()].filter(({phase}) => phase.type === 'member' && phase.pool === pool).length;
	const countServing = (pool: PoolId, nowMs: number) => countHosts(pool) - load.countHostsOutOfService(nowMs);
	const drawRunTimeMs = () => -Math.log(1 - random()) * meanRunTimeMs;

	const serveJobs = (simulatedPool: SimulatedPool, poolIndex: number, nowMs: number) => {
		const ratePerMs = load.getRateFactor(poolIndex, nowMs) * meanUtilisation * hostsPerPool * slotsPerHost / meanRunTimeMs;
		for (let expectedArrivals = ratePerMs * simulationStepMs; expectedArrivals > 0; expectedArrivals -= 1) {
			if (random() < expectedArrivals) {
				simulatedPool.queue.push(nowMs);
			}
		}

		simulatedPool.running = simulatedPool.running.filter(endMs => endMs > nowMs);
		const slots = countServing(simulatedPool.pool, nowMs) * slotsPerHost;
		const started = simulatedPool.queue.splice(0, Math.max(0, slots - simulatedPool.running.length));
		simulatedPool.running.push(...started.map(() => nowMs + drawRunTimeMs()));
		startDelaysMs.push(...started.map(arrivedAtMs => nowMs - arrivedAtMs));
		const busyFraction = simulatedPool.running.length / slots;
		idleSlotSeconds += (policy.cfg === 'spread' ? spareHosts / poolCount * slotsPerHost * (1 - busyFraction) : 0) * simulationStepMs / secondMs;
	};

	const planAndApplyMoves = (nowMs: number, plannerCfg: MovesConfig) => {
		demand = reduceDemand(demand, {
			type: 'moves/demandObserved',
			nowMs,
			pools: simulatedPools.map(simulatedPool => ({
				pool: simulatedPool.pool,
				demandSlots: simulatedPool.running.length + simulatedPool.queue.length,
				capacitySlots: countServing(simulatedPool.pool, nowMs) * slotsPerHost,
			})),
		}, plannerCfg);
		releases = trackReleases({
			releases, moves, appliedIndex: nowMs, nowMs,
		});
		const context: MoveContext = {
			records: {
				pools, waves: [], workers, ownership: [...owners.values()],
			},
			waves: createWavesState(),
			views: [{dataCentre: toBrand('dc-0'), epoch: 1, members: [toBrand<NodeId>('node-0')]}],
			maximumHostsAsideFleetWide: 7,
		};
		const commands = planMoves({
			moves,
			context,
			demand,
			platform: moves.moves.map(({worker, startedAtMs}) =>
				({worker, intake: 'closed', runningTasks: nowMs - startedAtMs >= drainDurationMs ? 0 : 1})),
			entryHosts: [],
			releases,
			nowMs,
			atMs: toBrand(nowMs),
			cfg: plannerCfg,
		});
		for (const command of commands) {
			const applied = applyMoveCommand({state: moves, command, context: {...context, records: {...context.records, ownership: [...owners.values()]}}});
			moves = applied.state;
			moveCount += command.type === 'moves/adopt' && applied.answer.type === 'applied' ? 1 : 0;
			if (applied.ownership !== undefined) {
				owners = new Map(owners).set(applied.ownership.worker, applied.ownership);
			}
		}
	};

	for (let nowMs = 0; nowMs < durationMs; nowMs += simulationStepMs) {
		for (const [poolIndex, simulatedPool] of simulatedPools.entries()) {
			serveJobs(simulatedPool, poolIndex, nowMs);
		}

		// Hosts in the spare pool and hosts that are moving run no jobs.
		const servingHostCount = simulatedPools.reduce((sum, {pool}) => sum + countHosts(pool), 0);
		idleSlotSeconds += (workers.length - servingHostCount) * slotsPerHost * simulationStepMs / secondMs;
		if (cfg !== undefined && nowMs % planIntervalMs === 0) {
			planAndApplyMoves(nowMs, cfg);
		}
	}

	return {idleSlotSeconds, moves: moveCount, startDelaysMs};
};

const getQuantile = (sorted: readonly number[], quantile: number) => sorted[Math.floor(sorted.length * quantile)] ?? 0;
const printRow = (cells: readonly string[]) => {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
};

for (const load of loads) {
	process.stdout.write(`\n${load.name}\n\n`);
	printRow(['policy', 'idle slot-seconds held', 'host moves', 'start p50 ms', 'p99 ms', 'p99.9 ms', 'started after 1.4 s']);
	printRow(Array.from({length: 7}, () => '---'));
	for (const policy of policies) {
		const {idleSlotSeconds, moves, startDelaysMs} = simulateLoad(load, policy);
		const sorted = startDelaysMs.toSorted((left, right) => left - right);
		printRow([
			policy.name,
			idleSlotSeconds.toFixed(0),
			String(moves),
			...[0.5, 0.99, 0.999].map(part => getQuantile(sorted, part).toFixed(0)),
			`${(100 * sorted.filter(delayMs => delayMs > maximumStartDelayMs).length / sorted.length).toFixed(2)} %`,
		]);
	}
}
