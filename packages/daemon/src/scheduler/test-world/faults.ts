/**
 * The faults that a test injects into a simulation.
 */
import {
	contactMs, crashRestartMs, delayedArrivalMs, deadlyDelayMs, quickFailureMs, reportPeriodMs, restartMs,
} from './constants.js';
import type {DeadlyRuns} from './deadly-runs.js';
import type {EndIncarnation, FakeFleet} from './minions.js';
import type {Simulation} from './simulation.js';
import type {FakeMinion, TestWorld} from './types.js';

type MinionFaults = Pick<
	TestWorld,
	| 'silence' | 'resize' | 'drain' | 'crash' | 'crashVisibly' | 'cutWithResets' | 'makeDeadly' | 'countCrashesUnder' | 'restart' | 'restartUnnoticed'
	| 'cutFromLeader' | 'delayHold' | 'leaveUnconfirmed' | 'leaveUnlistening' | 'stall' | 'failAll' | 'disturbOrders'
>;

type LeaderFaults = Pick<
	TestWorld,
	'stallLog' | 'delayWorkerOrder' | 'sendLateOrdersToNextIncarnation' | 'pauseLeader' | 'loseOrders' | 'loseOutcome' | 'dropCommands' | 'delayCommit'
>;

/** What the faults of minions work on. */
export type MinionFaultOptions = {
	readonly simulation: Simulation;
	readonly fleet: FakeFleet;
	readonly deadlyRuns: DeadlyRuns;
	readonly endIncarnation: EndIncarnation;
};

/**
 * Creates the faults of minions and of the links to them.
 *
 * @param options - The simulation and its parts.
 * @returns The functions that inject them.
 */
export function createMinionFaults({simulation, fleet, deadlyRuns, endIncarnation}: MinionFaultOptions): MinionFaults {
	const {timers, faults, recordFault} = simulation;

	const disturb = (index: number, change: (minion: FakeMinion) => void) => {
		const minion = fleet.findMinion(index);
		if (minion !== undefined) {
			change(minion);
		}
	};

	const restart = (index: number) => {
		disturb(index, minion => {
			endIncarnation(minion, {downMs: restartMs, identity: minion.record});
		});
	};

	return {
		silence(index, durationMs, arrivalMs = delayedArrivalMs) {
			disturb(index, minion => {
				minion.isSilent = true;
				recordFault(durationMs + arrivalMs);
				timers.scheduleOnce(durationMs, () => {
					minion.isSilent = false;
					timers.scheduleOnce(arrivalMs, () => {
						for (const carryOutLate of minion.delayed.splice(0)) {
							carryOutLate();
						}
					});
				});
			});
		},
		resize(index, cpuMillicores) {
			disturb(index, minion => {
				const {capacity} = minion.record;
				minion.record = {...minion.record, capacity: {...capacity, cpuMillicores}};
				simulation.checks.record({
					type: 'capacityChanged', life: minion.record.life, capacity: minion.record.capacity, earlierCountsUntilMs: timers.getNow() + contactMs + reportPeriodMs,
				});
			});
		},
		drain(index) {
			disturb(index, minion => {
				minion.isDraining = true;
			});
		},
		crash(index) {
			disturb(index, minion => {
				endIncarnation(minion, {downMs: crashRestartMs});
			});
		},
		crashVisibly(index) {
			disturb(index, deadlyRuns.crashVisibly);
		},
		cutWithResets(index, durationMs) {
			disturb(index, minion => {
				minion.isRefusing = true;
				recordFault(durationMs);
				timers.scheduleOnce(durationMs, () => {
					minion.isRefusing = false;
				});
			});
		},
		makeDeadly(task, {afterMs = deadlyDelayMs} = {}) {
			deadlyRuns.add(task, afterMs);
		},
		countCrashesUnder: deadlyRuns.countCrashes,
		restart,
		restartUnnoticed(index) {
			faults.isCrashUnnoticed = true;
			restart(index);
		},
		cutFromLeader(index, durationMs) {
			disturb(index, minion => {
				faults.reachableByReports.add(minion.record.life);
				minion.isSilent = true;
				recordFault(durationMs);
				timers.scheduleOnce(durationMs, () => {
					minion.isSilent = false;
				});
			});
		},
		delayHold(index, arrivalMs) {
			disturb(index, ({record: {minion}}) => {
				faults.delayedHold = {minion, arrivalMs};
				recordFault(arrivalMs);
			});
		},
		leaveUnconfirmed(index, endsAfterMs) {
			disturb(index, minion => {
				faults.silentlyLeaving.add(minion.record.life);
				simulation.checks.record({type: 'minionLeaving', life: minion.record.life});
				recordFault(endsAfterMs);
				void simulation.leader?.answer({type: 'minion/leave', minion: minion.record.minion, bornAtMs: minion.record.bornAtMs});
				timers.scheduleOnce(endsAfterMs, () => {
					fleet.remove(minion);
				});
			});
		},
		async leaveUnlistening(index, endsAfterMs) {
			const minion = fleet.findMinion(index);
			if (minion === undefined) {
				return undefined;
			}

			minion.isRefusing = true;
			faults.silentlyLeaving.add(minion.record.life);
			simulation.checks.record({type: 'minionLeaving', life: minion.record.life});
			recordFault(endsAfterMs);
			timers.scheduleOnce(endsAfterMs, () => {
				fleet.remove(minion);
			});
			const answer = await simulation.leader?.answer({type: 'minion/leave', minion: minion.record.minion, bornAtMs: minion.record.bornAtMs});
			if (answer?.type === 'done') {
				fleet.remove(minion);
			}

			return answer?.type;
		},
		stall(index) {
			disturb(index, minion => {
				minion.isStalled = true;
			});
		},
		failAll(index, durationMs) {
			disturb(index, minion => {
				minion.failsUntilMs = timers.getNow() + durationMs;
				recordFault(durationMs + quickFailureMs);
			});
		},
		disturbOrders(index, kind, durationMs) {
			disturb(index, minion => {
				minion.orderFault = {kind, untilMs: timers.getNow() + durationMs};
				recordFault(durationMs);
			});
		},
	};
}

/**
 * Creates the faults of the leader, its log and its orders.
 *
 * @param simulation - The shared state.
 * @returns The functions that inject them.
 */
export function createLeaderFaults({timers, faults, recordFault}: Simulation): LeaderFaults {
	return {
		stallLog(durationMs) {
			faults.logStalledUntilMs = timers.getNow() + durationMs;
			recordFault(durationMs);
		},
		sendLateOrdersToNextIncarnation({areStartsLost = false} = {}) {
			faults.areLateOrdersSentToNextIncarnation = true;
			faults.areLateStartsLost = areStartsLost;
		},
		delayWorkerOrder(delayMs) {
			faults.workerOrderDelayMs = delayMs;
		},
		pauseLeader(durationMs) {
			faults.leaderPausedUntilMs = timers.getNow() + durationMs;
			recordFault(durationMs);
		},
		loseOrders(chance, durationMs) {
			faults.orderLoss = {chance, untilMs: timers.getNow() + durationMs};
			recordFault(durationMs);
		},
		loseOutcome(type) {
			faults.lostOutcomeType = type;
		},
		dropCommands(types, durationMs) {
			faults.droppedCommands = {types, untilMs: timers.getNow() + durationMs};
			recordFault(durationMs);
		},
		delayCommit(type, delayMs) {
			faults.delayedCommit = {type, delayMs};
		},
	};
}
