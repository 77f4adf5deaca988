import {
	createVirtualTimerService, toBrand, type MonotonicMs, type WallClockMs, type WorkerId,
} from '@samphiremill/common';
import {
	applyControlCommand, createControlState, defaultWavesConfig, type ControlCommand, type ControlRecord,
} from '@samphiremill/core';
import {createPlatformClient, startWaveController, type ControllerDecision} from '@samphiremill/daemon';
import {afterEach, expect, test} from 'vitest';
import {startStandInPlatform, type StandInPlatform} from './stand-in-platform.js';

const workers = ['worker-0', 'worker-1', 'worker-2', 'worker-3'];
const cleanups: Array<() => Promise<void>> = [];

afterEach(async () => {
	for (const close of cleanups.splice(0)) {
		// eslint-disable-next-line no-await-in-loop -- in order: a controller stops before its platform closes
		await close();
	}
});

function createRecords(): readonly ControlRecord[] {
	return [
		{
			kind: 'pool', id: toBrand('pool-0'), maximumUnavailableHosts: 1, isSpare: false,
		},
		{
			kind: 'pool', id: toBrand('pool-1'), maximumUnavailableHosts: 1, isSpare: false,
		},
		...workers.map((id): ControlRecord => ({
			kind: 'worker', id: toBrand(id), dataCentre: toBrand('dc-0'), rack: toBrand('rack-0'), cores: 32, memoryMb: 65_536, accelerators: 0, homePool: toBrand('pool-0'),
		})),
	];
}

/** Starts a stand-in platform, a log that commits at once, and a controller that runs when the test calls it. */
async function startSession(options: {readonly lostRebootRatio?: number} = {}) {
	const timers = createVirtualTimerService(1000);
	const rebootingHosts = new Set<string>();
	const transcript: string[] = [];
	const platform: StandInPlatform = await startStandInPlatform({
		host: '127.0.0.1',
		port: 0,
		timers,
		hosts: workers,
		rebootMs: 4000,
		...options,
		onIntakeChanged(host, intake) {
			transcript.push(`platform: intake of ${host} ${intake}`);
		},
		onRebootStarted(host) {
			rebootingHosts.add(host);
			transcript.push(`platform: ${host} reboots`);
		},
		onRebootFinished(host) {
			rebootingHosts.delete(host);
			transcript.push(`platform: ${host} is back`);
		},
	});
	cleanups.push(platform.close);
	const client = createPlatformClient({url: platform.url});
	cleanups.push(client.close);
	let control = createControlState();
	let index = 0;
	const commit = (command: ControlCommand) => {
		const step = applyControlCommand(control, command);
		control = step.state;
		index += 1;
		return step.answer;
	};

	const writeRecord = (record: ControlRecord) => commit({
		type: 'control/putRecord', changeId: toBrand(`change-${index}`), actor: 'operator', acceptedAtMs: toBrand(0), record,
	});
	for (const record of createRecords()) {
		writeRecord(record);
	}

	const recordDecision = (decision: ControllerDecision) => {
		if (decision.type === 'proposed' && decision.outcome?.type === 'applied') {
			transcript.push(`${decision.command.type}${'worker' in decision.command ? ` ${decision.command.worker}` : ''}`);
		}
	};

	const startLeader = () => {
		const controller = startWaveController({
			timers,
			platform: client,
			hasLeaderLease: () => true,
			getControlState: () => control,
			getAppliedIndex: () => index,
			getFleet: () => ({
				workers: workers.map(id => ({
					worker: toBrand<WorkerId>(id),
					pool: toBrand('pool-0'),
					dataCentre: toBrand('dc-0'),
					condition: rebootingHosts.has(id) ? 'silent' : 'up',
					lastSeenAtMs: toBrand<MonotonicMs>(rebootingHosts.has(id) ? 0 : timers.getNow()),
				})),
			}),
			getEntryHosts: () => [],
			getDemand: () => [],
			getLearnedRunTime: () => undefined,
			getWallClockMs: () => toBrand<WallClockMs>(timers.getNow()),
			propose: async command => commit(command),
			log: recordDecision,
		});
		cleanups.unshift(controller.stop);
		return controller;
	};

	return {
		timers, platform, transcript, writeRecord, startLeader, getControl: () => control,
	};
}

type Session = Awaited<ReturnType<typeof startSession>>;

/** Advances virtual time by a number of controller periods; each plan finishes before the next one starts. */
async function runPeriods({timers}: Session, controller: {readonly runOnce: () => Promise<void>}, periods: number) {
	for (let period = 0; period < periods; period += 1) {
		timers.advance(250);
		// eslint-disable-next-line no-await-in-loop -- periods run one at a time
		await controller.runOnce();
	}
}

const wave: ControlRecord = {
	kind: 'wave', id: toBrand('wave-0'), pools: [toBrand('pool-0')], desired: 'running', maximumHostsAside: 7,
};

test('a wave continues after a change of leader and reboots every host exactly once', async () => {
	const session = await startSession();
	session.writeRecord(wave);
	const first = session.startLeader();
	await runPeriods(session, first, 32);
	await first.stop();
	const second = session.startLeader();
	await runPeriods(session, second, 140);
	expect(session.getControl().waves?.waves[0]?.phase).toBe('completed');
	expect(session.platform.getReboots().map(reboot => reboot.split(' ')[0])).toEqual(workers);
	expect(workers.map(host => session.platform.getIntake(host))).toEqual(['open', 'open', 'open', 'open']);
	expect(session.transcript).toMatchSnapshot();
});

test('a host that runs tasks is rebooted only once they are gone', async () => {
	const session = await startSession();
	session.writeRecord(wave);
	session.platform.setTasks('worker-0', [
		{
			task: 'long', kind: 'laundry', elapsedMs: 600_000, canCheckpoint: true, checkpoint: 'none',
		},
		{
			task: 'short', kind: 'receipt', elapsedMs: 10, canCheckpoint: true, checkpoint: 'none',
		},
	]);
	const controller = session.startLeader();
	await runPeriods(session, controller, 40);
	expect(session.platform.getReboots()).toEqual([]);
	session.platform.setTasks('worker-0', []);
	await runPeriods(session, controller, 4);
	expect(session.platform.getReboots()).toEqual(['worker-0 wave-0:worker-0:1']);
});

test('a host that does not return from its reboot counts as failed until it returns', async () => {
	const session = await startSession({lostRebootRatio: 1});
	session.writeRecord({...wave, workers: workers.map(id => toBrand<WorkerId>(id))});
	const controller = session.startLeader();
	await runPeriods(session, controller, 40);
	session.timers.advance(defaultWavesConfig.rebootTimeoutMs);
	await runPeriods(session, controller, 4);
	expect(session.getControl().waves?.waves[0]?.hosts.map(({phase}) => phase)).toEqual(['failed', 'pending', 'pending', 'pending']);
	session.platform.recoverHost('worker-0');
	await runPeriods(session, controller, 4);
	expect(session.getControl().waves?.waves[0]?.hosts[0]?.phase).toBe('returned');
});

test('a change of its home pool moves a host to the other pool', async () => {
	const session = await startSession();
	const controller = session.startLeader();
	await runPeriods(session, controller, 24);
	const movedWorker = createRecords().find(record => record.kind === 'worker');
	if (movedWorker?.kind === 'worker') {
		session.writeRecord({...movedWorker, homePool: toBrand('pool-1')});
	}

	await runPeriods(session, controller, 48);
	expect(session.getControl().ownership.get(toBrand('worker-0'))).toMatchObject({epoch: 3, phase: {type: 'member', pool: 'pool-1'}});
	expect(session.transcript).toMatchSnapshot();
});

test('a host whose reboot timed out is rebooted once the platform can reboot it', async () => {
	const session = await startSession();
	session.platform.setCanReboot(false);
	session.writeRecord({...wave, workers: [toBrand<WorkerId>('worker-0')]});
	const controller = session.startLeader();
	const getHost = () => session.getControl().waves?.waves[0]?.hosts[0];
	await runPeriods(session, controller, 40);
	expect(getHost()?.phase).toBe('rebooting');
	session.timers.advance(defaultWavesConfig.rebootTimeoutMs);
	await runPeriods(session, controller, 4);
	expect(getHost()).toMatchObject({phase: 'failed', failure: 'rebootTimeout'});
	session.platform.setCanReboot(true);
	await runPeriods(session, controller, 40);
	expect(getHost()?.phase).toBe('returned');
	expect(session.platform.getReboots()).toEqual(['worker-0 wave-0:worker-0:1']);
});
