/**
 * Simulates a fleet in virtual time for the benchmarks of maintenance waves: drains, reboots and unplanned failures.
 * It uses the planner of the product. Commands take effect at once, without a replicated log.
 */
import process from 'node:process';
import {createSeededRandom, toBrand, type WorkerId} from '@samphiremill/common';
import {
	applyWaveCommand, createWavesState, defaultWavesConfig, getRebootId, listHostsToClose, planWaveStep,
	type FleetRecords, type OrderHosts, type PlatformHost, type PoolRecord, type VersionedWave, type WavesConfig, type WavesState, type WorkerRecord,
} from '@samphiremill/core';

/** Size of a fleet and how often its hosts fail or restart unplanned. `budget` is the number of hosts that each pool may lack. */
export type FleetShape = {
	readonly name: string;
	readonly workers: number;
	readonly pools: number;
	readonly dataCentres: number;
	readonly hostsPerRack: number;
	readonly budget: number;
	readonly failuresPerDay: number;
	readonly restartsPerDay: number;
	/** Interval between two planning steps. */
	readonly tickMs: number;
};

/** Parameters of one roll-out: a single wave over a whole fleet. */
export type RollOutOptions = {
	readonly shape: FleetShape;
	readonly orderHosts: OrderHosts;
	readonly maximumHostsAside: number;
	readonly seed: number;
};

/** Results of one roll-out. */
export type RollOutResult = {
	readonly durationMs: number;
	readonly meanCycleMs: number;
	readonly pauses: number;
	/** Number of pools, summed over all granted drains, that had more hosts out of service than their budget right after the grant. */
	readonly budgetOverruns: number;
	readonly returned: number;
	readonly failed: number;
	/** Mean number of racks with a host out of service for the wave, over the time in which there was at least one. */
	readonly meanRacksOutOfService: number;
	readonly planDurationsMicroseconds: readonly number[];
};

type SimulatedHost = {
	downUntilMs: number;
	drainedAtMs: number | undefined;
	reboot: {readonly id: string; readonly untilMs: number} | undefined;
};

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const dayMs = 24 * 60 * minuteMs;
const rackStride = 11;
const failureDurationMs = 120 * minuteMs;
const restartDurationMs = 5 * minuteMs;
const operatorReactionMs = 10 * minuteMs;
const maximumDurationMs = 20 * dayMs;

/** Mean duration of a reboot in these benchmarks. */
export const meanRebootMs = 5 * minuteMs;

const createRecords = ({workers, pools, dataCentres, hostsPerRack, budget}: FleetShape, maximumHostsAside: number): FleetRecords => {
	const poolRecords = Array.from({length: pools}, (_, index): PoolRecord => ({
		kind: 'pool', id: toBrand(`pool-${String(index).padStart(2, '0')}`), maximumUnavailableHosts: budget, isSpare: false,
	}));
	const workerRecords = Array.from({length: workers}, (_, index): WorkerRecord => {
		// Spreads consecutive ids over the racks, so that the order of ids does not follow the racks.
		const rack = Math.floor(((index * rackStride) % workers) / hostsPerRack);
		return {
			kind: 'worker',
			id: toBrand(`worker-${String(index).padStart(4, '0')}`),
			dataCentre: toBrand(`dc-${rack % dataCentres}`),
			rack: toBrand(`rack-${rack}`),
			cores: 32,
			memoryMb: 131_072,
			accelerators: 0,
			homePool: toBrand(`pool-${String(index % pools).padStart(2, '0')}`),
		};
	});
	return {
		pools: poolRecords,
		workers: workerRecords,
		ownership: workerRecords.map(({id, homePool}) => ({worker: id, epoch: 1, phase: {type: 'member', pool: homePool}})),
		waves: [{
			record: {
				kind: 'wave', id: toBrand('wave'), pools: poolRecords.map(({id}) => id), desired: 'running', maximumHostsAside,
			},
			revision: 1,
		}],
	};
};

/**
 * Runs one wave over a whole fleet until it completes, or until `maximumDurationMs` of virtual time.
 */
export function simulateRollOut({shape, orderHosts, maximumHostsAside, seed}: RollOutOptions): RollOutResult {
	const {tickMs} = shape;
	const random = createSeededRandom(seed);
	const cfg: WavesConfig = {...defaultWavesConfig, maximumHostsAsideFleetWide: maximumHostsAside};
	let records = createRecords(shape, maximumHostsAside);
	let state: WavesState = createWavesState();
	const hosts = new Map<WorkerId, SimulatedHost>(records.workers.map(({id}) => [id, {downUntilMs: 0, drainedAtMs: undefined, reboot: undefined}]));
	const racks = new Map(records.workers.map(({id, rack}) => [id, rack]));
	const planDurationsMicroseconds: number[] = [];
	let pauses = 0;
	let pausedAtMs: number | undefined;
	let budgetOverruns = 0;
	let racksOutOfServiceSum = 0;
	let ticksWithRacksOutOfService = 0;
	let nowMs = 0;

	const isDown = (host: SimulatedHost) => Math.max(host.downUntilMs, host.reboot?.untilMs ?? 0) > nowMs;
	const failRandomHost = (eventsPerDay: number, durationMs: number) => {
		if (random() < eventsPerDay * tickMs / dayMs) {
			const worker = records.workers[Math.floor(random() * records.workers.length)];
			const host = worker && hosts.get(worker.id);
			if (host !== undefined) {
				host.downUntilMs = Math.max(host.downUntilMs, nowMs + durationMs);
			}
		}
	};

	const listPlatformHosts = (): readonly PlatformHost[] => {
		const closed = new Set(listHostsToClose({state, records, platform: [...hosts].map(([worker, host]) => toPlatformHost(worker, host, 'closed'))}));
		return [...hosts].map(([worker, host]) => toPlatformHost(worker, host, closed.has(worker) ? 'closed' : 'open'));
	};

	const toPlatformHost = (worker: WorkerId, host: SimulatedHost, intake: PlatformHost['intake']): PlatformHost => ({
		worker,
		intake,
		runningTasks: host.drainedAtMs === undefined || host.drainedAtMs > nowMs ? 1 : 0,
		...(host.reboot !== undefined && {
			reboot: {id: host.reboot.id, state: host.reboot.untilMs > nowMs ? 'running' : 'finished', finishedSeenAtMs: host.reboot.untilMs},
		}),
	});

	const executeHostPhases = () => {
		for (const wave of state.waves) {
			for (const {worker, phase, attempt} of wave.hosts) {
				const host = hosts.get(worker);
				if (host === undefined) {
					continue;
				}

				if (phase === 'draining') {
					host.drainedAtMs ??= nowMs + ((10 + (random() * 50)) * secondMs);
				} else if (phase === 'pending') {
					host.drainedAtMs = undefined;
				}

				const id = getRebootId({wave: wave.wave, worker, attempt});
				if (phase === 'rebooting' && host.reboot?.id !== id) {
					host.reboot = {id, untilMs: nowMs + (meanRebootMs * (0.7 + (0.6 * random())))};
				}
			}
		}
	};

	const countBudgetOverruns = () => {
		const plannedHosts = new Set(state.waves.flatMap(wave => wave.hosts
			.filter(({phase}) => ['granted', 'draining', 'rebooting', 'failed'].includes(phase))
			.map(({worker}) => worker)));
		const down = new Set(state.unavailable.map(({worker}) => worker));
		return records.pools.filter(({id, maximumUnavailableHosts}) => {
			const members = records.workers.filter(({homePool}) => homePool === id);
			const hasPlannedHost = members.some(worker => plannedHosts.has(worker.id) && !down.has(worker.id));
			return hasPlannedHost && members.filter(worker => plannedHosts.has(worker.id) || down.has(worker.id)).length > maximumUnavailableHosts;
		}).length;
	};

	const tick = () => {
		failRandomHost(shape.failuresPerDay, failureDurationMs);
		failRandomHost(shape.restartsPerDay, restartDurationMs);
		const startedAt = process.hrtime.bigint();
		const commands = planWaveStep({
			control: {waves: state, records},
			fleet: {workers: [...hosts].map(([worker, host]) => ({worker, condition: isDown(host) ? 'silent' : 'up', lastSeenAtMs: isDown(host) ? 0 : nowMs}))},
			platform: listPlatformHosts(),
			nowMs: toBrand(nowMs),
			cfg,
			orderHosts,
		});
		planDurationsMicroseconds.push(Number(process.hrtime.bigint() - startedAt) / 1000);
		for (const command of commands) {
			state = applyWaveCommand({
				state, command, records, cfg,
			}).state;
			budgetOverruns += command.type === 'waves/grantDrain' ? countBudgetOverruns() : 0;
		}

		executeHostPhases();
		const racksOutOfService = new Set(state.waves.flatMap(wave => wave.hosts
			.filter(({phase}) => ['granted', 'draining', 'rebooting'].includes(phase))
			.map(({worker}) => racks.get(worker))));
		racksOutOfServiceSum += racksOutOfService.size;
		ticksWithRacksOutOfService += racksOutOfService.size > 0 ? 1 : 0;
	};

	// Resumes a paused wave after the operator's reaction time, with a new revision of its record.
	const simulateOperator = () => {
		const isPaused = state.waves[0]?.phase === 'paused';
		if (isPaused && pausedAtMs === undefined) {
			pausedAtMs = nowMs;
			pauses += 1;
		}

		if (isPaused && pausedAtMs !== undefined && nowMs - pausedAtMs >= operatorReactionMs) {
			pausedAtMs = undefined;
			const waves = records.waves.map(({record, revision}): VersionedWave => ({record, revision: revision + 1}));
			records = {...records, waves};
		}
	};

	while (state.waves[0]?.phase !== 'completed' && nowMs < maximumDurationMs) {
		nowMs += tickMs;
		tick();
		simulateOperator();
	}

	const finalHosts = state.waves[0]?.hosts ?? [];
	const cycleDurationsMs = finalHosts
		.filter(({phase}) => phase === 'returned')
		.map(({grantedAtMs, changedAtMs}) => changedAtMs - (grantedAtMs ?? changedAtMs));
	return {
		durationMs: nowMs,
		meanCycleMs: cycleDurationsMs.reduce((sum, durationMs) => sum + durationMs, 0) / Math.max(1, cycleDurationsMs.length),
		pauses,
		budgetOverruns,
		returned: cycleDurationsMs.length,
		failed: finalHosts.filter(({phase}) => phase === 'failed').length,
		meanRacksOutOfService: racksOutOfServiceSum / Math.max(1, ticksWithRacksOutOfService),
		planDurationsMicroseconds,
	};
}

/**
 * Computes the shortest possible duration of a roll-out, as implied by the pools' budgets and the limit on hosts out of
 * service.
 *
 * @param options.cycleMs - Mean time for which one host is out of service.
 */
export function getRollOutLowerBoundMs({shape, maximumHostsAside, cycleMs}: {
	shape: FleetShape;
	maximumHostsAside: number;
	cycleMs: number;
}): number {
	const largestPoolSize = Math.ceil(shape.workers / shape.pools);
	return Math.max(shape.workers / maximumHostsAside, largestPoolSize / shape.budget) * cycleMs;
}
