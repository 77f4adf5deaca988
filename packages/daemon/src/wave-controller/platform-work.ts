/**
 * Carries out at the platform what has been committed. Each call may be repeated, so a new leader
 * simply does it all again.
 */
import type {WorkerId} from '@samphiremill/common';
import {
	createMovesState, createWavesState, decideTaskDrain, getRebootId, type ControlState, type WaveHost, type WaveState,
} from '@samphiremill/core';
import type {PlatformHostState, PlatformTask} from '../platform/types.js';
import {checkpointCostMs} from './constants.js';
import type {CallResult, PlatformCall, WaveControllerOptions} from './types.js';

/** A host of a wave with its wave. */
type HeldHost = {readonly wave: WaveState; readonly host: WaveHost};

const closedPhases: ReadonlySet<WaveHost['phase']> = new Set(['draining', 'rebooting', 'failed']);

/**
 * @param state - The committed state.
 * @returns The hosts whose intake is to be closed: drained, rebooted or failed in a wave, or moving.
 */
export function getClosedHosts(state: ControlState): ReadonlySet<WorkerId> {
	const held = getHeldHosts(state).map(({host}) => host.worker);
	const moving = (state.moves ?? createMovesState()).moves.map(({worker}) => worker);
	return new Set([...held, ...moving]);
}

function getHeldHosts(state: ControlState): readonly HeldHost[] {
	return (state.waves ?? createWavesState()).waves.flatMap(wave => wave.hosts
		.filter(({phase}) => closedPhases.has(phase))
		.map(host => ({wave, host})));
}

/**
 * Asks the platform of each host that the committed state holds aside.
 *
 * @param options - The platform and the committed state.
 * @returns The hosts that the platform answered for.
 */
export async function readPlatform(options: WaveControllerOptions): Promise<readonly PlatformHostState[]> {
	const hosts = [...getClosedHosts(options.getControlState())];
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
	await Promise.all([...getClosedHosts(state)].map(async host => closeIntake({options, host, seen: known.get(host)})));
	await Promise.all(getHeldHosts(state)
		.filter(({host}) => host.phase === 'rebooting')
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
 */
export async function reopenIntakes(options: WaveControllerOptions): Promise<void> {
	const closed = await logged({
		options, call: {operation: 'listClosedHosts'}, run: async () => options.platform.listClosedHosts(),
	});
	if (!closed.ok) {
		return;
	}

	// Read after the answer, so that a host granted meanwhile is left closed.
	const state = options.getControlState();
	const wanted = getClosedHosts(state);
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
