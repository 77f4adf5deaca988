/**
 * The leaders of a simulation: one after the other over the same ledger.
 */
import {toBrand, type NodeId} from '@samphiremill/common';
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
import type {Propose} from './replicated-log.js';
import {runPendingCallbacks, type Simulation} from './simulation.js';

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
	/** Makes another host the leader; the old leader only finds that its orders are refused. */
	readonly changeLeader: () => Promise<void>;
};

/**
 * Creates the leaders of a simulation; none is started.
 *
 * @param options - The simulation and its ports.
 * @returns The leaders.
 */
export function createLeadership({simulation, propose, minions, advice, workers, orderTimes, waveTimes}: LeadershipOptions): Leadership {
	const {timers, settings, faults, parse} = simulation;
	const endedJobs = createEndedJobs({timers, getLedger: () => simulation.ledger});

	const startNextLeader = () => {
		simulation.term += 1;
		const leaderTerm = simulation.term;
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
			canAct: () => simulation.term === leaderTerm && timers.getNow() >= faults.leaderPausedUntilMs,
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

	return {
		startNextLeader,
		async changeLeader() {
			const old = simulation.leader;
			simulation.recordFault(leaderHandoverMs);
			// The next leader only knows what a snapshot of the ledger contains.
			simulation.ledger = restoreLedger(createLedgerSnapshot(simulation.ledger), parse);
			waveTimes.recordRestore();
			startNextLeader();
			await runPendingCallbacks();
			timers.scheduleOnce(leaderHandoverMs, () => {
				old?.stop();
			});
		},
	};
}
