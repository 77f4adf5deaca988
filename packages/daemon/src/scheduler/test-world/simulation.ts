/**
 * What the parts of a simulation share: its settings, random draws, virtual time, ledger, leader and active faults.
 */
import {
	createSeededRandom, createVirtualTimerService, type JobId, type MinionId, type RandomSource, type VirtualTimerService,
} from '@samphiremill/common';
import {
	createLedger, type FleetConfiguration, type JobSpecification, type Ledger, type LedgerCommand, type StepSpecification, type TaskId,
} from '@samphiremill/core';
import {createFleetChecks, type FleetChecks, type Rule} from '../../fleet-checks/index.js';
import {parseTaskName} from '../../fleet-checks/task-name.js';
import type {StructuredLogger} from '../../runtime/types.js';
import type {Leader} from '../leader.js';
import type {MinionPort} from '../types.js';
import {createConfiguration} from './configuration.js';
import {
	absenceNoticeMs, contactMs, orderLeaseMs, wallClockStartMs,
} from './constants.js';
import type {LeaderProcess} from './leader-process.js';
import type {FakeMinion, TestWorldOptions} from './types.js';

/** The faults that are active in a simulation; times in virtual milliseconds. */
export type ActiveFaults = {
	leaderPausedUntilMs: number;
	logStalledUntilMs: number;
	orderLoss: {readonly chance: number; readonly untilMs: number};
	isCrashUnnoticed: boolean;
	areLateOrdersSentToNextIncarnation: boolean;
	/** Whether starts are left out of that: they never arrive there. */
	areLateStartsLost: boolean;
	/** The next order for a worker is carried out this much later. */
	workerOrderDelayMs: number | undefined;
	/** The next hold call that grants the minion time is carried out this much later. */
	delayedHold: {readonly minion: MinionId; readonly arrivalMs: number} | undefined;
	lostOutcomeType: LedgerCommand['type'] | undefined;
	droppedCommands: {readonly types: ReadonlyArray<LedgerCommand['type']>; readonly untilMs: number} | undefined;
	delayedCommit: {readonly type: LedgerCommand['type']; readonly delayMs: number} | undefined;
	/** Incarnations that have called leave and report no more. */
	readonly silentlyLeaving: Set<string>;
	/** Silent incarnations whose reports still arrive. */
	readonly reachableByReports: Set<string>;
};

/** Options with their defaults. */
export type SimulationSettings = TestWorldOptions & Required<Pick<
	TestWorldOptions,
	| 'minionCount' | 'lossChance' | 'failureChance' | 'standbyWorkers' | 'orderTurnMs' | 'leaseMs' | 'longestHoldMs' | 'approvalChance' | 'log'
	| 'getClockError' | 'alterPort' | 'hasWorkerOrders' | 'onFenced'
>>;

/** The shared state of a simulation. */
export type Simulation = {
	readonly settings: SimulationSettings;
	readonly random: RandomSource;
	readonly timers: VirtualTimerService;
	/** The last minion at each address. */
	readonly minions: Map<string, FakeMinion>;
	readonly faults: ActiveFaults;
	readonly violations: readonly string[];
	/** Orders that a real minion refuses. */
	readonly costs: readonly string[];
	ledger: Ledger;
	term: number;
	/** The leader that acts; `undefined` between two leaders. */
	leader: Leader | undefined;
	/** The process of the leader of each term. */
	readonly leaderProcesses: Map<number, LeaderProcess>;
	/** The checks from the outside; they are told what callers, minions and the platform see. */
	readonly checks: FleetChecks;
	/** The jobs as callers submitted them. */
	readonly specifications: Map<JobId, JobSpecification>;
	readonly findStep: (task: TaskId) => StepSpecification | undefined;
	/** Adds the operator's next configuration. Returns the document that stands for it. */
	readonly addConfiguration: (teamMaximumMillicores: number) => {readonly document: string; readonly version: number};
	readonly parse: (document: string) => FleetConfiguration | undefined;
	readonly getWallClock: () => number;
	/** The time of day of the leader's host, which may be wrong. */
	readonly getLeaderWallClock: () => number;
	readonly pause: (delayMs: number) => Promise<void>;
	/** Records that something is wrong now and for this time. */
	readonly recordFault: (durationMs?: number) => void;
	readonly subscribeToFaults: (listener: (untilMs: number) => void) => void;
	/** Returns the probability that an order gets no answer now. */
	readonly getLossChance: () => number;
};

/** The time of day of the leader's host is wrong by one of these errors at a time, and right in between. */
const clockErrorsMs = [2400, -2400, 3_600_000, -3_600_000];
const jumpPeriodMs = 2600;
const jumpLengthMs = 1200;

const getJumpMs = (nowMs: number) => nowMs % jumpPeriodMs < jumpLengthMs ? clockErrorsMs[Math.floor(nowMs / jumpPeriodMs) % clockErrorsMs.length] ?? 0 : 0;

const silentLog: StructuredLogger = {
	debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
};

const restoreSettings = (options: TestWorldOptions): SimulationSettings => {
	const standbyWorkers = options.standbyWorkers ?? 0;
	return {
		minionCount: 4,
		lossChance: 0,
		failureChance: 0,
		orderTurnMs: 3300,
		leaseMs: 4500,
		longestHoldMs: 7500,
		approvalChance: 1,
		log: silentLog,
		getClockError: () => 0,
		alterPort: (port: MinionPort) => port,
		hasWorkerOrders: standbyWorkers > 0,
		onFenced: () => undefined,
		...options,
		standbyWorkers,
	};
};

const createActiveFaults = (): ActiveFaults => ({
	leaderPausedUntilMs: 0,
	logStalledUntilMs: 0,
	orderLoss: {chance: 0, untilMs: 0},
	isCrashUnnoticed: false,
	areLateOrdersSentToNextIncarnation: false,
	areLateStartsLost: false,
	workerOrderDelayMs: undefined,
	delayedHold: undefined,
	lostOutcomeType: undefined,
	droppedCommands: undefined,
	delayedCommit: undefined,
	silentlyLeaving: new Set(),
	reachableByReports: new Set(),
});

/**
 * Runs the callbacks that are due before virtual time moves on.
 *
 * @returns A promise that resolves once they have run.
 */
export const runPendingCallbacks = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

/**
 * Creates the shared state of a simulation without minions or a leader.
 *
 * @param options - The options of the simulation.
 * @returns The state.
 */
export function createSimulation(options: TestWorldOptions): Simulation {
	const settings = restoreSettings(options);
	const timers = createVirtualTimerService(1000);
	const faults = createActiveFaults();
	const faultListeners: Array<(untilMs: number) => void> = [];
	const violations: string[] = [];
	const costs: string[] = [];
	const specifications = new Map<JobId, JobSpecification>();
	const configurations: FleetConfiguration[] = [];
	const getWallClock = () => wallClockStartMs + timers.getNow();
	// A minion refuses a start without a valid ticket; the simulated ones carry it out.
	const recordViolation = (rule: Rule, detail: string) => {
		const list = rule === 'ticket' ? costs : violations;
		list.push(`${rule} at ${Math.round(timers.getNow())} ms in term ${simulation.term}: ${detail}`);
	};

	const checks = createFleetChecks({
		getNow: timers.getNow, getWallClock, report: recordViolation, limits: {contactMs, absenceNoticeMs, orderLeaseMs},
	});

	const addConfiguration = (configuration: FleetConfiguration) => {
		configurations.push(configuration);
		checks.record({type: 'configurationSent', configuration});
		return {document: String(configuration.version), version: configuration.version};
	};

	const simulation: Simulation = {
		settings,
		random: createSeededRandom(settings.seed),
		timers,
		minions: new Map(),
		faults,
		violations,
		costs,
		ledger: createLedger(),
		term: 0,
		leader: undefined,
		leaderProcesses: new Map(),
		checks,
		specifications,
		findStep(task) {
			const {job, step} = parseTaskName(task);
			return specifications.get(job)?.steps[step];
		},
		addConfiguration: teamMaximumMillicores => addConfiguration(createConfiguration({...options, teamMaximumMillicores}, configurations.length + 1)),
		parse: document => configurations.find(({version}) => document === String(version)),
		getWallClock,
		getLeaderWallClock: () => getWallClock() + (settings.getLeaderClockError?.() ?? getJumpMs(timers.getNow())),
		pause: async delayMs => new Promise<void>(resolve => {
			timers.scheduleOnce(delayMs, resolve);
		}),
		recordFault(durationMs = 0) {
			checks.record({type: 'faultSeen', untilMs: timers.getNow() + durationMs});
			for (const listener of faultListeners) {
				listener(timers.getNow() + durationMs);
			}
		},
		subscribeToFaults(listener) {
			faultListeners.push(listener);
		},
		getLossChance() {
			const {chance, untilMs} = faults.orderLoss;
			return timers.getNow() < untilMs ? Math.max(settings.lossChance, chance) : settings.lossChance;
		},
	};
	addConfiguration(createConfiguration(options));
	checks.record({type: 'configurationConfirmed', version: 1});
	return simulation;
}
