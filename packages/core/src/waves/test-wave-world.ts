/**
 * A fleet with its platform, a leader and a log in virtual time, for the model tests of waves.
 */
import {toBrand, type PoolId, type WorkerId} from '@samphiremill/common';
import type {WaveRecord, WorkerRecord} from '../control/types.js';
import {needsReboot} from './availability.js';
import {applyWaveCommand} from './apply-wave-command.js';
import {defaultWavesConfig} from './constants.js';
import {listHostsToClose} from './list-hosts-to-close.js';
import {getRebootId} from './plan-host-steps.js';
import {planWaveStep} from './plan-wave-step.js';
import type {
	FleetRecords, ObservedWorker, PlatformHost, VersionedWave, WaveCommand, WavesConfig, WavesState,
} from './types.js';
import {createWavesState} from './waves-state.js';

export const tickMs = 1000;

export const testConfig: WavesConfig = {
	...defaultWavesConfig, soakMs: 5 * tickMs, rebootTimeoutMs: 20 * tickMs,
};

type Host = {
	downUntilMs: number;
	rebootUntilMs: number;
	isIntakeOpen: boolean;
	tasksUntilMs: number;
	reboots: string[];
	finishedSeenAtMs: number | undefined;
};

/** A command on its way to the log, with the hosts that were truly out when it was planned. */
export type Proposal = {
	readonly command: WaveCommand;
	readonly unavailableWhenPlanned: ReadonlySet<WorkerId>;
};

export type WaveSimulationOptions = {
	readonly hostsPerPool: number;
	readonly budgets: readonly number[];
	readonly waves: readonly WaveRecord[];
	readonly onApplied?: (proposal: Proposal, world: WaveSimulation) => void;
};

export class WaveSimulation {
	nowMs = 0;
	/** Reboots of hosts on which something still ran. */
	rebootsWithRunningTasks = 0;
	state: WavesState = createWavesState();
	waves: VersionedWave[];
	proposals: Proposal[] = [];
	readonly hosts = new Map<WorkerId, Host>();
	readonly cutOffUntilMs = new Map<string, number>();
	readonly history: Proposal[] = [];
	readonly workers: readonly WorkerRecord[];
	readonly pools: FleetRecords['pools'];

	constructor(readonly options: WaveSimulationOptions) {
		this.waves = options.waves.map(record => ({record, revision: 1}));
		this.pools = options.budgets.map((maximumUnavailableHosts, index) => ({
			kind: 'pool', id: toBrand<PoolId>(`pool-${index}`), maximumUnavailableHosts, isSpare: false,
		}));
		this.workers = options.budgets.flatMap((_, pool) => Array.from({length: options.hostsPerPool}, (_, index) => createWorker({
			pool, index,
		})));
		for (const {id} of this.workers) {
			this.hosts.set(id, {
				downUntilMs: 0, rebootUntilMs: 0, isIntakeOpen: true, tasksUntilMs: 0, reboots: [], finishedSeenAtMs: undefined,
			});
		}
	}

	get records(): FleetRecords {
		return {
			pools: this.pools,
			waves: this.waves,
			workers: this.workers,
			ownership: this.workers.map(({id, homePool}) => ({worker: id, epoch: 1, phase: {type: 'member', pool: homePool}})),
		};
	}

	getUnavailableWorkers(): ReadonlySet<WorkerId> {
		return new Set(this.workers.filter(worker => this.#getCondition(worker) !== 'up').map(({id}) => id));
	}

	failHost(index: number, ticks: number): void {
		const worker = this.workers[index % this.workers.length];
		const host = worker && this.hosts.get(worker.id);
		if (host !== undefined) {
			host.downUntilMs = this.nowMs + (ticks * tickMs);
		}
	}

	cutOffDataCentre(dataCentre: number, ticks: number): void {
		this.cutOffUntilMs.set(`dc-${dataCentre}`, this.nowMs + (ticks * tickMs));
	}

	writeRecord(index: number, desired: WaveRecord['desired']): void {
		this.waves = this.waves.map((wave, position) => position === index
			? {record: {...wave.record, desired}, revision: wave.revision + 1}
			: wave);
	}

	plan(): void {
		const commands = planWaveStep({
			control: {waves: this.state, records: this.records},
			fleet: {workers: this.workers.map(worker => this.#observe(worker))},
			platform: this.workers.map(({id}) => this.#askPlatform(id)),
			nowMs: toBrand(this.nowMs),
			cfg: testConfig,
		});
		const outWhenPlanned = this.getUnavailableWorkers();
		this.proposals.push(...commands.map(command => ({command, outWhenPlanned})));
	}

	commit(proposals: readonly Proposal[]): void {
		for (const proposal of proposals) {
			this.history.push(proposal);
			const {state, answer} = applyWaveCommand({
				state: this.state, command: proposal.command, records: this.records, cfg: testConfig,
			});
			this.state = state;
			if (answer.type === 'applied') {
				this.options.onApplied?.(proposal, this);
			}
		}
	}

	/** The leader's controller: asks the platform for what has been committed, again and again. */
	requestPlatformActions(rebootTicks: number): void {
		const aside = this.state.waves.flatMap(wave => wave.hosts.map(host => ({wave, host})));
		const toClose = new Set(listHostsToClose({
			state: this.state, records: this.records, platform: this.workers.map(({id}) => this.#askPlatform(id)),
		}));
		for (const [worker, host] of this.hosts) {
			const closed = toClose.has(worker);
			if (host.isIntakeOpen && closed) {
				host.tasksUntilMs = this.nowMs + (2 * tickMs);
			}

			host.isIntakeOpen = !closed;
		}

		for (const {wave, host} of aside.filter(({host}) => needsReboot(host))) {
			const id = getRebootId({wave: wave.wave, worker: host.worker, attempt: host.attempt});
			const physical = this.hosts.get(host.worker);
			if (physical !== undefined && !physical.reboots.includes(id)) {
				this.rebootsWithRunningTasks += physical.tasksUntilMs > this.nowMs || physical.isIntakeOpen ? 1 : 0;
				physical.reboots.push(id);
				physical.finishedSeenAtMs = undefined;
				physical.rebootUntilMs = this.nowMs + (rebootTicks * tickMs);
			}
		}
	}

	tick(rebootTicks = 3): void {
		this.nowMs += tickMs;
		this.plan();
		this.commit(this.proposals.splice(0));
		this.requestPlatformActions(rebootTicks);
	}

	#getCondition({id, dataCentre}: WorkerRecord): ObservedWorker['condition'] {
		if ((this.cutOffUntilMs.get(dataCentre) ?? 0) > this.nowMs) {
			return 'unknown';
		}

		const host = this.hosts.get(id);
		return Math.max(host?.downUntilMs ?? 0, host?.rebootUntilMs ?? 0) > this.nowMs ? 'silent' : 'up';
	}

	#observe(worker: WorkerRecord): ObservedWorker {
		const condition = this.#getCondition(worker);
		return {worker: worker.id, condition, lastSeenAtMs: condition === 'up' ? this.nowMs : 0};
	}

	#askPlatform(worker: WorkerId): PlatformHost {
		const host = this.hosts.get(worker);
		const id = host?.reboots.at(-1);
		if (host === undefined || id === undefined) {
			return {worker, intake: host?.isIntakeOpen === false ? 'closed' : 'open', runningTasks: this.#countTasks(host)};
		}

		const isFinished = host.rebootUntilMs <= this.nowMs;
		if (isFinished) {
			host.finishedSeenAtMs ??= this.nowMs - 1;
		}

		return {
			worker,
			intake: host.isIntakeOpen ? 'open' : 'closed',
			runningTasks: this.#countTasks(host),
			reboot: {
				id,
				state: isFinished ? 'finished' : 'running',
				...(host.finishedSeenAtMs !== undefined && {finishedSeenAtMs: host.finishedSeenAtMs}),
			},
		};
	}

	#countTasks(host: Host | undefined): number {
		return (host?.tasksUntilMs ?? 0) > this.nowMs ? 1 : 0;
	}
}

export function createWave(id: string, pools: readonly number[], maximumHostsAside = 7): WaveRecord {
	return {
		kind: 'wave',
		id: toBrand(id),
		pools: pools.map(pool => toBrand<PoolId>(`pool-${pool}`)),
		desired: 'running',
		maximumHostsAside,
	};
}

function createWorker({pool, index}: {pool: number; index: number}): WorkerRecord {
	return {
		kind: 'worker',
		id: toBrand(`worker-${pool}-${index}`),
		dataCentre: toBrand(`dc-${index % 2}`),
		rack: toBrand(`rack-${index % 2}-${Math.floor(index / 4)}`),
		cores: 32,
		memoryMb: 65_536,
		accelerators: 0,
		homePool: toBrand(`pool-${pool}`),
	};
}
