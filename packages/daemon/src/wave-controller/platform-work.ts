/**
 * Executes committed waves and moves at the platform. All calls are idempotent, so a new leader repeats
 * them.
 */
import type {WorkerId} from '@samphiremill/common';
import {
	createMovesState, createWavesState, decideTaskDrain, getFleetRecords, getRebootId, listHostsToClose, needsReboot, type ControlState, type PlatformHost, type WaveHost, type WaveState,
} from '@samphiremill/core';
import type {PlatformHostState, PlatformTask} from '../platform/types.js';
import {checkpointCostMs} from './constants.js';
import type {CallResult, PlatformCall, WaveControllerOptions} from './types.js';

/** A host that a wave has taken out of service, with its wave. */
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

/** Collects the hosts that must take no new work because of a wave or a move. */
function collectHostsToClose(state: ControlState, platformHosts: readonly PlatformHostState[]): ReadonlySet<WorkerId> {
	const closedForWaves = listHostsToClose({
		state: state.waves ?? createWavesState(),
		records: getFleetRecords(state),
		platform: platformHosts.map(host => toPlatformHost(host)),
	});
	return new Set([...closedForWaves, ...listMovingHosts(state)]);
}

/**
 * Converts the platform's state of a host to the form that the planners read.
 *
 * @param rebootFinishedSeenAtMs - When its reboot was first seen as finished; undefined if it is not.
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
 * Reads from the platform the state of each host that a committed wave or move has taken out of service.
 *
 * @returns The states of the hosts for which the platform answered.
 */
export async function readPlatformHosts(options: WaveControllerOptions): Promise<readonly PlatformHostState[]> {
	const state = options.getControlState();
	const hosts = [...new Set([...listOutOfServiceHosts(state).map(({host}) => host.worker), ...listMovingHosts(state)])];
	const answers = await Promise.all(hosts.map(async host =>
		callPlatform({options, call: {operation: 'getHost', host}, run: async () => options.platform.getHost(host)})));
	return answers.flatMap(answer => answer.ok ? [answer.value] : []);
}

/**
 * Closes intakes, drains the tasks that still run, and reboots drained hosts.
 *
 * @param platformHosts - The latest states that the platform reported.
 */
export async function executeCommittedWork(options: WaveControllerOptions, platformHosts: readonly PlatformHostState[]): Promise<void> {
	const state = options.getControlState();
	const platformHostsByWorker = new Map(platformHosts.map(host => [host.host, host]));
	const hostsToClose = collectHostsToClose(state, platformHosts);
	await Promise.all([...hostsToClose].map(async host => closeIntake({options, host, platformHost: platformHostsByWorker.get(host)})));
	await Promise.all(listOutOfServiceHosts(state)
		.filter(({host}) => needsReboot(host))
		.map(async waveHost => startReboot({options, waveHost, platformHost: platformHostsByWorker.get(waveHost.host.worker)})));
}

async function closeIntake({options, host, platformHost}: {
	options: WaveControllerOptions;
	host: WorkerId;
	platformHost: PlatformHostState | undefined;
}): Promise<void> {
	if (platformHost?.intake !== 'closed') {
		await callPlatform({options, call: {operation: 'closeIntake', host}, run: async () => options.platform.setIntake(host, 'closed')});
		return;
	}

	await Promise.all(platformHost.tasks.map(async task => drainTask({options, host, task})));
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

async function startReboot({options, waveHost, platformHost}: {
	options: WaveControllerOptions;
	waveHost: OutOfServiceHost;
	platformHost: PlatformHostState | undefined;
}): Promise<void> {
	const {worker, attempt} = waveHost.host;
	const id = getRebootId({wave: waveHost.wave.wave, worker, attempt});
	if (platformHost?.reboot?.id !== id) {
		await callPlatform({
			options, call: {operation: 'reboot', host: worker, target: id}, run: async () => options.platform.reboot(worker, id),
		});
	}
}

/**
 * Opens the intake of hosts that no wave or move needs closed any more, whichever leader closed it.
 *
 * @param platformHosts - The latest states that the platform reported.
 */
export async function reopenIntakes(options: WaveControllerOptions, platformHosts: readonly PlatformHostState[]): Promise<void> {
	const closedHosts = await callPlatform({
		options, call: {operation: 'listClosedHosts'}, run: async () => options.platform.listClosedHosts(),
	});
	if (!closedHosts.ok) {
		return;
	}

	// The state is read after the platform's answer, so that a host granted in the meantime stays closed.
	const state = options.getControlState();
	const hostsToClose = collectHostsToClose(state, platformHosts);
	const hostsToReopen = closedHosts.value.filter(host => !hostsToClose.has(host) && state.ownership.has(host));
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

/** Checks whether a committed wave or move has taken any host out of service. */
export function hasHostsOutOfService(state: ControlState): boolean {
	return listOutOfServiceHosts(state).length > 0 || listMovingHosts(state).length > 0;
}
