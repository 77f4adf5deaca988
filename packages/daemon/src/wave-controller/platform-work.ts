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
type OutOfServiceHost = {readonly wave: WaveState; readonly host: WaveHost};

const outOfServicePhases: ReadonlySet<WaveHost['phase']> = new Set(['draining', 'rebooting', 'failed']);

function listOutOfServiceHosts(state: ControlState): readonly OutOfServiceHost[] {
	return (state.waves ?? createWavesState()).waves.flatMap(wave => wave.hosts
		.filter(({phase}) => outOfServicePhases.has(phase))
		.map(host => ({wave, host})));
}

function listMovingHosts(state: ControlState): readonly WorkerId[] {
	return (state.moves ?? createMovesState()).moves.map(({worker}) => worker);
}

/** The hosts that are to take no new work, for a wave or a move. */
function collectHostsToClose(state: ControlState, platformHosts: readonly PlatformHostState[]): ReadonlySet<WorkerId> {
	const hostsOfWaves = listHostsToClose({
		state: state.waves ?? createWavesState(),
		records: getFleetRecords(state),
		platform: platformHosts.map(host => toPlatformHost(host)),
	});
	return new Set([...hostsOfWaves, ...listMovingHosts(state)]);
}

/**
 * @param host - What the platform said of a host.
 * @param rebootFinishedSeenAtMs - When its reboot was first seen to have ended, where it has.
 * @returns The same as the planners read it.
 */
export function toPlatformHost(host: PlatformHostState, rebootFinishedSeenAtMs?: number): PlatformHost {
	return {
		worker: host.host,
		intake: host.intake,
		runningTasks: host.tasks.length,
		...(host.reboot !== undefined && {
			reboot: {...host.reboot, ...(rebootFinishedSeenAtMs !== undefined && {finishedSeenAtMs: rebootFinishedSeenAtMs})},
		}),
	};
}

/**
 * Asks the platform of each host that the committed state holds aside.
 *
 * @param options - The platform and the committed state.
 * @returns The hosts that the platform answered for.
 */
export async function readPlatformHosts(options: WaveControllerOptions): Promise<readonly PlatformHostState[]> {
	const state = options.getControlState();
	const hosts = [...new Set([...listOutOfServiceHosts(state).map(({host}) => host.worker), ...listMovingHosts(state)])];
	const answers = await Promise.all(hosts.map(async host =>
		callPlatform({options, call: {operation: 'getHost', host}, run: async () => options.platform.getHost(host)})));
	return answers.flatMap(answer => answer.ok ? [answer.value] : []);
}

/**
 * Closes intakes, decides over the tasks that still run, and reboots what has been drained.
 *
 * @param options - The platform and the committed state.
 * @param seen - What the platform said last.
 */
export async function executeCommittedWork(options: WaveControllerOptions, seen: readonly PlatformHostState[]): Promise<void> {
	const state = options.getControlState();
	const platformHostsByWorker = new Map(seen.map(host => [host.host, host]));
	const hostsToClose = collectHostsToClose(state, seen);
	await Promise.all([...hostsToClose].map(async host => closeIntake({options, host, seen: platformHostsByWorker.get(host)})));
	await Promise.all(listOutOfServiceHosts(state)
		.filter(({host}) => needsReboot(host))
		.map(async held => startReboot({options, held, seen: platformHostsByWorker.get(held.host.worker)})));
}

async function closeIntake({options, host, seen}: {
	options: WaveControllerOptions;
	host: WorkerId;
	seen: PlatformHostState | undefined;
}): Promise<void> {
	if (seen?.intake !== 'closed') {
		await callPlatform({options, call: {operation: 'closeIntake', host}, run: async () => options.platform.setIntake(host, 'closed')});
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
		await callPlatform({
			options,
			call: {operation: 'checkpointTask', host, target: task.task},
			run: async () => platform.checkpointTask(host, task.task),
		});
	}

	if (action === 'stop') {
		await callPlatform({
			options,
			call: {operation: 'stopTask', host, target: task.task},
			run: async () => platform.stopTask(host, task.task),
		});
	}
}

async function startReboot({options, held, seen}: {
	options: WaveControllerOptions;
	held: OutOfServiceHost;
	seen: PlatformHostState | undefined;
}): Promise<void> {
	const {worker, attempt} = held.host;
	const id = getRebootId({wave: held.wave.wave, worker, attempt});
	if (seen?.reboot?.id !== id) {
		await callPlatform({
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
	const closedHosts = await callPlatform({
		options, call: {operation: 'listClosedHosts'}, run: async () => options.platform.listClosedHosts(),
	});
	if (!closedHosts.ok) {
		return;
	}

	// Read after the answer, so that a host granted meanwhile is left closed.
	const state = options.getControlState();
	const wanted = collectHostsToClose(state, seen);
	const hostsToReopen = closedHosts.value.filter(host => !wanted.has(host) && state.ownership.has(host));
	await Promise.all(hostsToReopen.map(async host =>
		callPlatform({options, call: {operation: 'openIntake', host}, run: async () => options.platform.setIntake(host, 'open')})));
}

async function callPlatform<Value>({options, call, run}: {
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
export function hasHostsOutOfService(state: ControlState): boolean {
	return listOutOfServiceHosts(state).length > 0 || listMovingHosts(state).length > 0;
}
