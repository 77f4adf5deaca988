/**
 * Simulation of the scheduler in virtual time: one leader at a time over a real ledger, and fake minions that
 * keep leases, fencing tokens and lists of runs as real minions do. Orders are lost or delayed, minions stop
 * answering, leaders change. Every start, stop and worker order is checked against the scheduler's invariants.
 */
import {toBrand, type WorkerId} from '@samphiremill/common';
import {applyLedgerCommand} from '@samphiremill/core';
import {createFakeAdviceService} from './test-world/advice-service.js';
import {createCallers} from './test-world/callers.js';
import {
	pool, reportPeriodMs, settleMs, stepMs, waitingSampleMs, workSampleMs,
} from './test-world/constants.js';
import {createDeadlyRuns} from './test-world/deadly-runs.js';
import {createLeaderFaults, createMinionFaults} from './test-world/faults.js';
import {createGangs} from './test-world/gangs.js';
import {createLeadership} from './test-world/leadership.js';
import {createMinionCalls} from './test-world/minion-calls.js';
import {createEndIncarnation, createFakeFleet} from './test-world/minions.js';
import {createFakePlatform, createWorkerPools} from './test-world/platform.js';
import {createReplicatedLog} from './test-world/replicated-log.js';
import {createSimulation, runPendingCallbacks} from './test-world/simulation.js';
import type {TestWorld, TestWorldOptions} from './test-world/types.js';
import {createWaitingInvariant} from './waiting-invariant.js';
import {createWaveTimes} from './wave-times.js';
import {createWorkerOrderTimes} from './worker-order-times.js';

export {otherTeamKey} from './test-world/constants.js';
export type {
	LeaderChange, OrderFault, Repetition, TestWorld, TestWorldOptions,
} from './test-world/types.js';

/**
 * Starts a simulation with its first leader.
 *
 * @param options - The options of the simulation.
 * @returns The running simulation.
 */
export function createTestWorld(options: TestWorldOptions): TestWorld {
	const simulation = createSimulation(options);
	const {timers, settings, violations, costs} = simulation;
	const fleet = createFakeFleet(simulation);
	const pools = createWorkerPools(settings.standbyWorkers);
	const advice = createFakeAdviceService(simulation);
	const orderTimes = createWorkerOrderTimes(timers);
	const waveTimes = createWaveTimes({timers, getWallClock: simulation.getLeaderWallClock});
	const waiting = createWaitingInvariant({
		getNow: timers.getNow,
		getLedger: () => simulation.ledger,
		listMinions: () => fleet.listMinions().map(minion => ({record: minion.record, isSound: fleet.isSound(minion), tasks: new Set(minion.runs.keys())})),
		isApproved: ({job, occurrence, step}, minion) => job.advice === undefined || advice.isApproved(`${job.id}.${occurrence}.${step}`, minion),
	});
	simulation.subscribeToFaults(waiting.recordFault);
	const endIncarnation = createEndIncarnation(simulation, fleet, pools.getMovedPool);
	const deadlyRuns = createDeadlyRuns(simulation, fleet, endIncarnation);
	const platform = createFakePlatform({simulation, fleet, pools});
	const leadership = createLeadership({
		simulation,
		propose: createReplicatedLog(simulation, command => {
			orderTimes.recordCommand(command);
			waveTimes.recordCommand(command);
		}),
		minions: createMinionCalls({
			simulation, fleet, deadlyRuns, gangs: createGangs(simulation, fleet), onStart: waiting.recordStart,
		}),
		advice,
		workers: platform.port,
		orderTimes,
		waveTimes,
	});
	const {sendReports, ...callers} = createCallers(simulation, fleet, pools.standby);

	applyLedgerCommand(simulation.ledger, {type: 'configuration/replaced', document: '1'}, simulation.parse);
	for (let index = 0; index < settings.minionCount; index += 1) {
		fleet.createMinion(toBrand<WorkerId>(`worker-${index}`), pool);
	}

	leadership.startNextLeader();
	timers.scheduleEvery(reportPeriodMs, sendReports);
	timers.scheduleEvery(workSampleMs, () => {
		simulation.checks.record({type: 'tasksAtWork', tasks: fleet.listRunning().map(({id}) => id).filter(id => fleet.isAtWork(id))});
	});
	timers.scheduleEvery(waitingSampleMs, waiting.sample);
	timers.scheduleEvery(stepMs, () => {
		for (const minion of simulation.minions.values()) {
			fleet.applyElapsedTime(minion);
		}
	});

	return {
		pool,
		...callers,
		...createMinionFaults({
			simulation, fleet, deadlyRuns, endIncarnation,
		}),
		...createLeaderFaults(simulation),
		async advance(durationMs) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				timers.advance(stepMs);
				await runPendingCallbacks(); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
			}
		},
		schedule(delayMs, callback) {
			timers.scheduleOnce(delayMs, callback);
		},
		getState(id) {
			const state = simulation.ledger.jobs.get(id)?.status;
			if (state !== undefined) {
				simulation.checks.record({type: 'jobShown', job: id, state});
			}

			return state;
		},
		changeLeader: leadership.changeLeader,
		listRunsByIncarnation: () => fleet.listRunning().map(({minion, id, run}) => `${id}#${run.run}@${minion.record.life}`),
		countStartsOn: index => fleet.findMinion(index)?.startCount ?? 0,
		countRuns: id => fleet.listRunning().filter(({id: task}) => task.startsWith(id)).length,
		listViolations: () => violations,
		listCosts: () => costs,
		listOverdueTasks: waiting.listViolations,
		listMoves: platform.listMoves,
		getLedger: () => simulation.ledger,
		countStarts: fleet.countStarts,
		getNow: timers.getNow,
	};
}

/**
 * Starts a simulation and lets its minions join and list their runs.
 *
 * @param options - The options of the simulation.
 * @returns The running simulation.
 */
export async function startTestWorld(options: TestWorldOptions): Promise<TestWorld> {
	const world = createTestWorld(options);
	await world.advance(settleMs);
	return world;
}
