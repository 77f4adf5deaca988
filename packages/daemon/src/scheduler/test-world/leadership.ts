/**
 * The leaders of a simulation: one after the other over the same ledger.
 */
import {assertNever, toBrand, type NodeId} from '@samphiremill/common';
import {applyLedgerCommand, createLedgerSnapshot, restoreLedger} from '@samphiremill/core';
import {createCommandBatcher} from '../command-batcher.js';
import {commitSpacingMs} from '../constants.js';
import {createEndedJobs} from '../ended-jobs.js';
import {startLeader} from '../leader.js';
import {createSchedulerMetrics} from '../metrics.js';
import type {AdvicePort, MinionPort, WorkerPort} from '../types.js';
import type {WaveTimes} from '../wave-times.js';
import type {WorkerOrderTimes} from '../worker-order-times.js';
import {leaderHandoverMs, moveMs} from './constants.js';
import {createLeaderProcess} from './leader-process.js';
import type {Propose} from './replicated-log.js';
import {runPendingCallbacks, type Simulation} from './simulation.js';
import type {LeaderChange} from './types.js';

const overlappingChange: LeaderChange = {type: 'overlapping'};

/** What leaders work with. */
export type LeadershipOptions = {
	readonly simulation: Simulation;
	readonly propose: Propose;
	readonly minions: MinionPort;
	readonly advice: AdvicePort;
	readonly workers: WorkerPort;
	readonly orderTimes: WorkerOrderTimes;
	readonly waveTimes: WaveTimes;
};

/** The leaders of a simulation. */
export type Leadership = {
	readonly startNextLeader: () => void;
	/** Makes another host the leader, by default one that overlaps with the former leader. Ignored while there is none. */
	readonly changeLeader: (change?: LeaderChange) => Promise<void>;
};

/**
 * Creates the leaders of a simulation; none is started.
 *
 * @param options - The simulation and its ports.
 * @returns The leaders.
 */
export function createLeadership({simulation, propose, minions, advice, workers, orderTimes, waveTimes}: LeadershipOptions): Leadership {
	const {settings, faults, parse} = simulation;
	const endedJobs = createEndedJobs({timers: simulation.timers, getLedger: () => simulation.ledger});

	const startNextLeader = () => {
		simulation.term += 1;
		const leaderTerm = simulation.term;
		const process = createLeaderProcess(simulation.timers);
		const {timers} = process;
		simulation.leaderProcesses.set(leaderTerm, process);
		applyLedgerCommand(simulation.ledger, {type: 'term/begun', term: leaderTerm}, parse);
		simulation.leader = startLeader({
			self: toBrand<NodeId>(`host-${leaderTerm}`),
			term: leaderTerm,
			limits: {
				leaseMs: settings.leaseMs,
				longestHoldMs: settings.longestHoldMs,
				retentionMs: 120_000,
				hasWorkerOrders: settings.hasWorkerOrders,
				workerMoveMs: moveMs,
				workerTurnMs: settings.orderTurnMs,
			},
			timers,
			log: settings.log,
			getWallClock: simulation.getLeaderWallClock,
			getLedger: () => simulation.ledger,
			canAct: () => simulation.term === leaderTerm && simulation.leader !== undefined && timers.getNow() >= faults.leaderPausedUntilMs,
			getLastOrderAtMs: orderTimes.getLastOrderAtMs,
			maintenanceTimes: waveTimes,
			endedJobs,
			propose: createCommandBatcher({
				timers,
				spacingMs: commitSpacingMs,
				propose: async command => propose(command, leaderTerm),
				onError(err) {
					throw err;
				},
				onTooLarge(type, bytes) {
					// The caller's own size, which is refused for good.
					if (type === 'job/accepted') {
						return;
					}

					throw new RangeError(`a command ${type} of ${bytes} bytes fits into no entry of the log`);
				},
			}),
			onFenced: settings.onFenced,
			minions: settings.alterPort(minions),
			advice,
			workers,
			checkConfiguration: () => [],
			metrics: createSchedulerMetrics(),
		});
	};

	const beginNextTerm = async () => {
		// The next leader only knows what a snapshot of the ledger contains.
		simulation.ledger = restoreLedger(createLedgerSnapshot(simulation.ledger), parse);
		waveTimes.recordRestore();
		startNextLeader();
		await runPendingCallbacks();
	};

	// Nobody acts before the next leader begins.
	const leaveLead = ({nextAfterMs, untilMs = nextAfterMs, onNext}: {readonly nextAfterMs: number; readonly untilMs?: number; readonly onNext: () => void}) => {
		simulation.leader = undefined;
		simulation.recordFault(untilMs + leaderHandoverMs);
		simulation.timers.scheduleOnce(nextAfterMs, () => {
			onNext();
			void beginNextTerm();
		});
	};

	return {
		startNextLeader,
		async changeLeader(change = overlappingChange) {
			const former = simulation.leader;
			const process = simulation.leaderProcesses.get(simulation.term);
			if (former === undefined || process === undefined) {
				return;
			}

			switch (change.type) {
				case 'overlapping': {
					simulation.recordFault(leaderHandoverMs);
					await beginNextTerm();
					simulation.timers.scheduleOnce(leaderHandoverMs, former.stop);
					return;
				}

				case 'planned': {
					// As in a control host that stops: it may not act any more, and its duties end once it learns of the next leader.
					leaveLead({nextAfterMs: change.nextAfterMs, onNext: former.stop});
					return;
				}

				case 'unplanned': {
					process.end();
					former.stop();
					leaveLead({nextAfterMs: change.nextAfterMs, onNext: () => undefined});
					return;
				}

				case 'frozen': {
					const {nextAfterMs, wakesAfterMs} = change;
					process.freeze();
					leaveLead({nextAfterMs, untilMs: Math.max(nextAfterMs, wakesAfterMs), onNext: () => undefined});
					simulation.timers.scheduleOnce(wakesAfterMs, () => {
						process.wake();
						simulation.timers.scheduleOnce(leaderHandoverMs, former.stop);
					});
					return;
				}

				default: {
					assertNever(change);
				}
			}
		},
	};
}
