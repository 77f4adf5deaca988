/**
 * Carries out at the platform what has been committed. Each call may be repeated, so a new leader
 * simply does it all again.
 */
import type {WorkerId} from '@samphiremill/common';
import {
	createMovesState, createWavesState, decideTaskDrain, getFleetRecords, getRebootId, listHostsToClose, needsReboot, type ControlState, type PlatformHost, type WaveHost, type WaveState,
} from '@samphiremill/core';
import type {PlatformHostState, PlatformTask} from '../platform/types.js';
import {checkpointCostMs} from './constants.js';
import type {CallResult, PlatformCall, WaveControllerOptions} from './types.js';

/** A host of a wave with its wave. */
type HeldHost = {readonly wave: WaveState; readonly host: WaveHost};

const heldPhases: ReadonlySet<WaveHost['phase']> = new Set(['draining', 'rebooting', 'failed']);

function getHeldHosts(state: ControlState): readonly HeldHost[] {
	return (state.waves ?? createWavesState()).waves.flatMap(wave => wave.hosts
		.filter(({phase}) => heldPhases.has(phase))
		.map(host => ({wave, host})));
}

function getMovingHosts(state: ControlState): readonly WorkerId[] {
	return (state.moves ?? createMovesState()).moves.map(({worker}) => worker);
}

/** The hosts that are to take no new work, for a wave or a move. */
function getClosedHosts(state: ControlState, seen: readonly PlatformHostState[]): ReadonlySet<WorkerId> {
	const held = listHostsToClose({
		state: state.waves ?? createWavesState(),
		records: getFleetRecords(state),
		platform: seen.map(host => createPlatformSight(host)),
	});
	return new Set([...held, ...getMovingHosts(state)]);
}

/**
 * @param host - What the platform said of a host.
 * @param finishedSeenAtMs - When its reboot was first seen to have ended, where it has.
 * @returns The same as the planners read it.
 */
export function createPlatformSight(host: PlatformHostState, finishedSeenAtMs?: number): PlatformHost {
	return {
		worker: host.host,
		intake: host.intake,
		runningTasks: host.tasks.length,
		...(host.reboot !== undefined && {
			reboot: {...host.reboot, ...(finishedSeenAtMs !== undefined && {finishedSeenAtMs})},
		}),
	};
}

/**
 * Asks the platform of each host that the committed state holds aside.
 *
 * @param options - The platform and the committed state.
 * @returns The hosts that the platform answered for.
 */
export async function readPlatform(options: WaveControllerOptions): Promise<readonly PlatformHostState[]> {
	const state = options.getControlState();
	const hosts = [...new Set([...getHeldHosts(state).map(({host}) => host.worker), ...getMovingHosts(state)])];
	const answers = await Promise.all(hosts.map(async host =>
		logged({options, call: {operation: 'getHost', host}, run: async () => options.platform.getHost(host)})));
	return answers.flatMap(answer => answer.ok ? [answer.value] : []);
}

/**
 * Closes intakes, decides over the tasks that still run, and reboots what has been drained.
 *
 * @param options - The platform and the committed state.
 * @param seen - What the platform said last.
 */
export async function carryOutWork(options: WaveControllerOptions, seen: readonly PlatformHostState[]): Promise<void> {
	const state = options.getControlState();
	const known = new Map(seen.map(host => [host.host, host]));
	const closed = getClosedHosts(state, seen);
	await Promise.all([...closed].map(async host => closeIntake({options, host, seen: known.get(host)})));
	await Promise.all(getHeldHosts(state)
		.filter(({host}) => needsReboot(host))
		.map(async held => startReboot({options, held, seen: known.get(held.host.worker)})));
}

async function closeIntake({options, host, seen}: {
	options: WaveControllerOptions;
	host: WorkerId;
	seen: PlatformHostState | undefined;
}): Promise<void> {
	if (seen?.intake !== 'closed') {
		await logged({options, call: {operation: 'closeIntake', host}, run: async () => options.platform.setIntake(host, 'closed')});
		return;
	}

	await Promise.all(seen.tasks.map(async task => drainTask({options, host, task})));
}

async function drainTask({options, host, task}: {
	options: WaveControllerOptions;
	host: WorkerId;
	task: PlatformTask;
}): Promise<void> {
	const {platform} = options;
	const action = decideTaskDrain({task, learned: options.getLearnedRunTime(task.kind), checkpointCostMs});
	if (action === 'checkpoint') {
		await logged({
			options,
			call: {operation: 'checkpointTask', host, target: task.task},
			run: async () => platform.checkpointTask(host, task.task),
		});
	}

	if (action === 'stop') {
		await logged({
			options,
			call: {operation: 'stopTask', host, target: task.task},
			run: async () => platform.stopTask(host, task.task),
		});
	}
}

async function startReboot({options, held, seen}: {
	options: WaveControllerOptions;
	held: HeldHost;
	seen: PlatformHostState | undefined;
}): Promise<void> {
	const {worker, attempt} = held.host;
	const id = getRebootId({wave: held.wave.wave, worker, attempt});
	if (seen?.reboot?.id !== id) {
		await logged({
			options, call: {operation: 'reboot', host: worker, target: id}, run: async () => options.platform.reboot(worker, id),
		});
	}
}

/**
 * Opens the intake of hosts that nothing holds aside any more, whichever leader closed it.
 *
 * @param options - The platform and the committed state.
 * @param seen - What the platform said last.
 */
export async function reopenIntakes(options: WaveControllerOptions, seen: readonly PlatformHostState[]): Promise<void> {
	const closed = await logged({
		options, call: {operation: 'listClosedHosts'}, run: async () => options.platform.listClosedHosts(),
	});
	if (!closed.ok) {
		return;
	}

	// Read after the answer, so that a host granted meanwhile is left closed.
	const state = options.getControlState();
	const wanted = getClosedHosts(state, seen);
	const stray = closed.value.filter(host => !wanted.has(host) && state.ownership.has(host));
	await Promise.all(stray.map(async host =>
		logged({options, call: {operation: 'openIntake', host}, run: async () => options.platform.setIntake(host, 'open')})));
}

async function logged<Value>({options, call, run}: {
	options: WaveControllerOptions;
	call: PlatformCall;
	run: () => Promise<CallResult<Value>>;
}): Promise<CallResult<Value>> {
	const result = await run();
	const isRead = call.operation === 'getHost' || call.operation === 'listClosedHosts';
	if (!result.ok || !isRead) {
		options.log({type: 'platformCalled', call, ...(!result.ok && {err: result.err})});
	}

	return result;
}

/**
 * @param state - The committed state.
 * @returns Whether a wave or a move holds any host aside.
 */
export function hasWork(state: ControlState): boolean {
	return getHeldHosts(state).length > 0 || getMovingHosts(state).length > 0;
}
