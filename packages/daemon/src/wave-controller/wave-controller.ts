import {
	createDemandState,
	createMovesState,
	createWavesState,
	defaultMovesConfig,
	defaultWavesConfig,
	getFleetRecords,
	planMoves,
	planWaveStep,
	reduceDemand,
	trackReleases,
	type DemandState,
	type ObservedEntryHost,
	type ObservedRelease,
} from '@samphiremill/core';
import type {PlatformHostState} from '../platform/types.js';
import {leaderWarmUpMs, planPeriodMs, reopenPeriodMs} from './constants.js';
import {
	executeCommittedWork, toPlatformHost, hasHostsOutOfService, readPlatformHosts, reopenIntakes,
} from './platform-work.js';
import type {PlannedCommand, WaveController, WaveControllerOptions} from './types.js';

/** State that the leader holds in memory only, for the time that it leads. */
type Leadership = {
	readonly startedAtMs: number;
	readonly lastReopenedAtMs: number;
	/** When each reboot was first seen as finished, by its id. */
	readonly finishedSeenAtMs: ReadonlyMap<string, number>;
	readonly releases: readonly ObservedRelease[];
	readonly demand: DemandState;
};

/**
 * Starts the controller of waves and moves. In each period, and only on the leader, it reads the states
 * of fleet and platform, proposes the planners' commands, and executes what has been committed.
 */
export function startWaveController(options: WaveControllerOptions): WaveController {
	const {timers} = options;
	let leadership: Leadership | undefined;
	let running: Promise<void> | undefined;

	const runPeriod = async () => {
		const nowMs = timers.getNow();
		if (!options.hasLeaderLease()) {
			leadership = undefined;
			return;
		}

		leadership ??= {
			startedAtMs: nowMs, lastReopenedAtMs: nowMs, finishedSeenAtMs: new Map(), releases: [], demand: createDemandState(),
		};
		if (nowMs - leadership.startedAtMs >= leaderWarmUpMs) {
			leadership = await runLeaderPeriod(options, leadership);
		}
	};

	const runOnce = async () => {
		running ??= runPeriod().finally(() => {
			running = undefined;
		});
		await running;
	};

	const cancel = timers.scheduleEvery(planPeriodMs, () => {
		void runOnce();
	});
	return {
		runOnce,
		async stop() {
			cancel();
			await running;
		},
	};
}

async function runLeaderPeriod(options: WaveControllerOptions, leadership: Leadership): Promise<Leadership> {
	const nowMs = options.timers.getNow();
	const releases = trackReleases({
		releases: leadership.releases,
		moves: options.getControlState().moves ?? createMovesState(),
		appliedIndex: options.getAppliedIndex(),
		nowMs,
	});
	// Must be read before the platform's state: see `PlanMovesInput`.
	const entryHosts = options.getEntryHosts();
	const platformHosts = await readPlatformHosts(options);
	const next = {
		...leadership,
		releases,
		finishedSeenAtMs: recordFinishedReboots(platformHosts, leadership.finishedSeenAtMs, nowMs),
		demand: reduceDemand(leadership.demand, {
			type: 'moves/demandObserved', pools: options.getDemand(), nowMs,
		}, options.movesConfig ?? defaultMovesConfig),
	};
	await proposeAll(options, planCommands({
		options, leadership: next, platformHosts, entryHosts,
	}));
	if (!options.hasLeaderLease()) {
		return next;
	}

	await executeCommittedWork(options, platformHosts);
	// A returning host counts as unavailable until its intake is open, so intakes are reopened without delay while work is active.
	const isActive = hasHostsOutOfService(options.getControlState()) || platformHosts.length > 0;
	if (!isActive && nowMs - next.lastReopenedAtMs < reopenPeriodMs) {
		return next;
	}

	await reopenIntakes(options, platformHosts);
	return {...next, lastReopenedAtMs: nowMs};
}

function planCommands({options, leadership, platformHosts, entryHosts}: {
	options: WaveControllerOptions;
	leadership: Leadership;
	platformHosts: readonly PlatformHostState[];
	entryHosts: readonly ObservedEntryHost[];
}): readonly PlannedCommand[] {
	const state = options.getControlState();
	const records = getFleetRecords(state);
	const waves = state.waves ?? createWavesState();
	const atMs = options.getWallClockMs();
	const cfg = options.wavesConfig ?? defaultWavesConfig;
	const platform = platformHosts.map(host => toPlatformHost(host, leadership.finishedSeenAtMs.get(host.reboot?.id ?? '')));
	const waveCommands = planWaveStep({
		control: {waves, records}, fleet: options.getFleet(), platform, nowMs: atMs, cfg,
	});
	const moveCommands = planMoves({
		moves: state.moves ?? createMovesState(),
		context: {
			records, waves, views: [...state.views.values()], maximumHostsAsideFleetWide: cfg.maximumHostsAsideFleetWide,
		},
		demand: leadership.demand,
		platform,
		entryHosts,
		releases: leadership.releases,
		nowMs: options.timers.getNow(),
		atMs,
		cfg: options.movesConfig ?? defaultMovesConfig,
	});
	return [...waveCommands, ...moveCommands];
}

async function proposeAll(options: WaveControllerOptions, commands: readonly PlannedCommand[]): Promise<void> {
	for (const command of commands) {
		// eslint-disable-next-line no-await-in-loop -- each command depends on those before it
		const outcome = await options.propose(command);
		options.log({type: 'proposed', command, outcome});
		if (outcome === undefined) {
			return;
		}
	}
}

function recordFinishedReboots(
	platformHosts: readonly PlatformHostState[],
	previous: Leadership['finishedSeenAtMs'],
	nowMs: number,
): Leadership['finishedSeenAtMs'] {
	return new Map(platformHosts
		.filter(({reboot}) => reboot?.state === 'finished')
		.map(({reboot}) => [reboot?.id ?? '', previous.get(reboot?.id ?? '') ?? nowMs]));
}
