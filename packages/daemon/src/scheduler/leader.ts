/**
 * The leading control host: it decides on requests, starts and stops tasks, and keeps the minions'
 * leases. All that must outlast it goes through the log first.
 */
import {PerformanceObserver, performance} from 'node:perf_hooks';
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import {
	findTask, getLongestChainMs, getObjectiveMs, listExpiredJobs, listTasks,
	type Job, type Ledger, type LedgerCommand, type MinionRecord, type Task,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {createAdviceCache, createStepId} from './advice-desk.js';
import {createCallHandlers} from './call-handlers.js';
import type {ProposalResult} from './command-batcher.js';
import {
	lapsedStartAbsenceTimeoutMs, fillerPacePeriodMs, jobCleanupPeriodMs, leaderTickPeriodMs, minionAbsenceTimeoutMs,
} from './constants.js';
import {createDutyTimes} from './duty-times.js';
import {createErrorBoundary} from './error-boundary.js';
import {createDemandMeter} from './demand-meter.js';
import {createEndedIncarnations} from './ended-lives.js';
import {paceFillers} from './filler-pacing.js';
import type {SchedulerMetrics} from './metrics.js';
import {openMinionSession, type MinionSession} from './minion-session.js';
import {createPoolView} from './pool-view.js';
import {createStragglerMitigator} from './run-hastener.js';
import type {SessionContext} from './session-context.js';
import {createSessionRegistry} from './session-registry.js';
import {createStartPlanner} from './start-planner.js';
import {stragglerCheckPeriodMs} from './straggler-watch.js';
import type {
	AdvicePort, ClusterAnswer, ClusterCall, ConfigurationFinding, MinionPort, WorkerPort,
} from './types.js';
import {createMaintenanceController} from './upkeep-duty.js';
import {createWorkerMoves} from './worker-moves.js';
import {createWorkerOrders} from './worker-orders.js';

/** Periods and bounds of the scheduler. */
export type SchedulerLimits = {
	/** The length of every lease on a minion, in milliseconds. */
	readonly leaseMs: number;
	/** The longest lease that a minion takes, whatever deadline it is given, in milliseconds. */
	readonly longestHoldMs: number;
	/** How long the end of a job is told after it, in milliseconds. */
	readonly retentionMs: number;
	/** Whether the platform switches workers between pools and has them maintained. */
	readonly hasWorkerOrders: boolean;
	/** How long the platform takes to move a worker to another pool, in milliseconds. */
	readonly workerMoveMs: number;
	/** For how long a leader leaves a worker alone after an order of another, in milliseconds. */
	readonly workerTurnMs: number;
};

/** What a leader needs. */
export type LeaderOptions = {
	readonly self: NodeId;
	readonly term: number;
	readonly limits: SchedulerLimits;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly getWallClock: () => number;
	readonly getLedger: () => Ledger;
	/** Whether this host leads for certain at this moment. */
	readonly canAct: () => boolean;
	/** When this host learnt of the latest order for a worker, on the monotonic clock. */
	readonly getLastOrderAtMs: (worker: WorkerId) => number;
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	/** Gives leadership up: a minion follows a newer leader. */
	readonly onFenced: () => void;
	readonly minions: MinionPort;
	readonly advice: AdvicePort;
	readonly workers: WorkerPort;
	readonly checkConfiguration: (document: string) => readonly ConfigurationFinding[];
	readonly metrics: SchedulerMetrics;
};

/** A leader at work. */
export type Leader = {
	readonly term: number;
	readonly answer: (call: ClusterCall) => Promise<ClusterAnswer>;
	readonly stop: () => void;
};

// The rack is a label, too, and differs between workers of one kind.
const getWorkerKind = ({labels, rack, capacity: {gpus}}: MinionRecord) => [...labels.filter(label => label !== rack), gpus].join(' ');

/**
 * Starts to lead. The term's first command is committed and applied already.
 *
 * @param options - What the leader needs.
 * @returns The leader.
 */
export function startLeader(options: LeaderOptions): Leader {
	const {
		self, term, limits, timers, log, getWallClock, getLedger, canAct, propose, minions, workers, metrics,
	} = options;
	const beganAtMs = timers.getNow();
	let isStopped = false;
	const orders = createWorkerOrders({
		self,
		term,
		timers,
		turnMs: limits.workerTurnMs,
		getLedger,
		getNotedAtMs: options.getLastOrderAtMs,
		canAct: () => !isStopped && canAct(),
		decide: async command => decide(command),
	});
	const demand = createDemandMeter(timers);

	const hastener = createStragglerMitigator({getLedger, log});
	const runIsolated = createErrorBoundary(log);
	const endedLives = createEndedIncarnations(timers);
	let collectionMs = 0;
	const collections = new PerformanceObserver(list => {
		for (const {duration} of list.getEntries()) {
			collectionMs += duration;
		}
	});
	collections.observe({entryTypes: ['gc']});
	const dutyTimes = createDutyTimes({timers, log, getWork: () => ({activeMs: performance.eventLoopUtilization().active, collectionMs})});

	const isAtWork = () => !isStopped;

	const commitCurrentTerm = async (command: LedgerCommand): Promise<boolean> => {
		if (isStopped) {
			return false;
		}

		const decision = await propose(command);
		return decision.type === 'applied' && !isStopped;
	};

	const decide = async (command: LedgerCommand): Promise<boolean> => {
		// Noted first: a report may come as soon as the log has it.
		if (command.type === 'minion/left') {
			endedLives.markEnded(command.life);
		}

		return commitCurrentTerm(command);
	};

	const adviceCache = createAdviceCache({
		advice: options.advice,
		timers,
		log,
		listMinions: pool => [...sessions.listPool(pool)].map(({record}) => record),
		onAdvised() {
			planner.requestFullPlan();
		},
	});

	const sessionContext: SessionContext = {
		timers,
		metrics,
		minions,
		log,
		fencingToken: term,
		leaseMs: limits.leaseMs,
		longestHoldMs: limits.longestHoldMs,
		termBeganAtMs: beganAtMs,
		getLedger,
		canAct: () => !isStopped && canAct(),
		commit: decide,
		getWallClock,
		onMinionsChanged() {
			dutyTimes.measure('changes of minions', sessions.sync);
			planner.requestFullPlan();
		},
		onRunsEnded() {
			planner.requestPlan();
		},
		onFenced: options.onFenced,
		getTicket: (task, life) => adviceCache.getTicket(createStepId(task), life),
		recordFailure: hastener.avoidIncarnation,
		recordCompletion: hastener.recordCompletion,
		onEndsRecorded(jobs) {
			for (const job of jobs.filter(({status}) => status !== 'active')) {
				logJobEnd(job);
			}
		},
		dropTicket(task, life) {
			adviceCache.dropTicket(createStepId(task), life);
		},
	};

	const logJobEnd = ({id, status, queue, pool, specification, stretchFactor, startLatencyMs, acceptedAtMs, endedAtMs = acceptedAtMs}: Job) => {
		const chainMs = getLongestChainMs(specification.steps, {poolMillicores: 0, teamMillicores: 0});
		const objectiveMs = Math.round(getObjectiveMs({stretchFactor, startLatencyMs}, chainMs));
		const tookMs = Math.round(endedAtMs - acceptedAtMs);
		log.info(`job ${id}: ${status} ${tookMs} ms after it was accepted, objective ${objectiveMs} ms`, {
			id, status, queue, pool, tookMs, objectiveMs, isLate: tookMs > objectiveMs,
		});
		metrics.count('jobs_ended_total', tookMs > objectiveMs ? `${status}Late` : status);
	};

	const sessions = createSessionRegistry({
		getLedger, open: record => openMinionSession(record, sessionContext), retainAddresses: minions.retain,
	});

	const isPlaceable = ({record: {worker}, isUsable}: MinionSession) => isUsable() && !upkeep.isCordoned(worker) && !moves.isCordoned(worker);

	const planner = createStartPlanner({
		term, timers, log, metrics, sessions, adviceCache: adviceCache, hastener, getLedger, getWallClock, canAct, isActive: isAtWork, isPlaceable, propose, measure: dutyTimes.measure,
	});

	const stopTaskRuns = (task: Task, reason: string) => {
		for (const {life} of task.runs) {
			sessions.get(life)?.stop(task.id, reason);
		}
	};

	// What runs of a job that is over, or of a task that another copy has done, is stopped.
	const stopUnneededRuns = () => {
		const ledger = getLedger();
		for (const id of ledger.index.endedWithRuns) {
			const job = ledger.jobs.get(id);
			for (const task of job === undefined ? [] : listTasks(job)) {
				stopTaskRuns(task, `the job is ${task.job.status}`);
			}
		}

		for (const id of ledger.index.doneWithRuns) {
			const task = findTask(ledger, id);
			if (task !== undefined) {
				stopTaskRuns(task, 'another copy is done');
			}
		}
	};

	const dropAbsentMinions = () => {
		for (const session of sessions.values()) {
			const hasRuns = (getLedger().incarnations.get(session.record.life)?.runs.size ?? 0) > 0;
			const absenceMs = session.hasUnblockedLapsedRuns() ? lapsedStartAbsenceTimeoutMs : minionAbsenceTimeoutMs;
			if (!hasRuns && timers.getNow() - session.getLastContactAtMs() > absenceMs) {
				log.info(`minion ${session.record.minion} is gone: neither reports nor answers`, {minion: session.record.minion, life: session.record.life});
				// It may only have been cut off, and may come back.
				void commitCurrentTerm({type: 'minion/left', term, life: session.record.life}).then(sessionContext.onMinionsChanged);
			}
		}
	};

	const moves = createWorkerMoves({
		metrics,
		timers,
		log,
		workers,
		orders,
		isSettledSince: planner.areEarlierPlansSettled,
		listRunning: () => [...sessions.values()].map(({record, isUsable}) => ({
			worker: record.worker,
			life: record.life,
			pool: record.pool,
			millicores: record.capacity.cpuMillicores,
			kind: getWorkerKind(record),
			runCount: getLedger().incarnations.get(record.life)?.runs.size ?? 0,
			isMovable: isUsable(),
		})),
		listPressures: () => pools.listPoolBalances(),
		isStandbyPool: pool => getLedger().configuration?.pools.some(definition => definition.isStandby && definition.pool === pool) ?? false,
		isCordonedForUpkeep: worker => upkeep.isCordoned(worker),
		moveMs: limits.workerMoveMs,
		decide,
		term,
		onChanged: sessionContext.onMinionsChanged,
	});

	const pools = createPoolView({
		timers, demand, sessions, getLedger, getWallClock, isPlaceable, listSwitchedOff: moves.listSwitchedOff, getIncomingMillicores: moves.getIncomingMillicores, moveMs: limits.workerMoveMs,
	});

	const upkeep = createMaintenanceController({
		timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, listSwitchedOff: moves.listSwitchedOff, isMoving: moves.isMoving, listPressed: pools.listLoadedPools, isSettledSince: planner.areEarlierPlansSettled, term, decide, onChanged: sessionContext.onMinionsChanged,
	});

	const tick = () => {
		if (!canAct()) {
			return;
		}

		dutyTimes.report();
		dutyTimes.measure('sessions', () => {
			for (const session of sessions.values()) {
				runIsolated(`the session with minion ${session.record.minion}`, session.tick);
			}
		});
		runIsolated('slow runs', hastener.pruneTasks);
		dutyTimes.measure('stops', () => {
			runIsolated('stops', stopUnneededRuns);
		});
		if (limits.hasWorkerOrders) {
			dutyTimes.measure('upkeep', () => {
				runIsolated('upkeep', upkeep.tick);
			});
			dutyTimes.measure('moves', () => {
				runIsolated('moves', moves.tick);
			});
		}

		runIsolated('absent minions', dropAbsentMinions);
		planner.requestFullPlan();
	};

	const forgetEndedJobs = () => {
		hastener.pruneSteps();
		adviceCache.forgetSteps(step => findTask(getLedger(), `${step}.0`) === undefined);
		const ids = listExpiredJobs(getLedger(), {nowMs: getWallClock(), retentionMs: limits.retentionMs});
		if (ids.length > 0 && canAct()) {
			void decide({type: 'jobs/forgotten', ids});
		}
	};

	const answer = createCallHandlers({
		term, timers, log, metrics, sessions, demand, pools, getLedger, getWallClock, propose, endedLives, decide: commitCurrentTerm, checkConfiguration: options.checkConfiguration, wantPlan: planner.requestFullPlan, stopNeedless: stopUnneededRuns, onChanged: sessionContext.onMinionsChanged,
	});

	sessions.sync();
	const cancelTimers = [
		timers.scheduleEvery(leaderTickPeriodMs, tick),
		timers.scheduleEvery(fillerPacePeriodMs, () => {
			dutyTimes.measure('fillers', () => {
				runIsolated('fillers', () => {
					paceFillers(sessions.values(), getLedger());
				});
			});
		}),
		timers.scheduleEvery(stragglerCheckPeriodMs, () => {
			if (canAct()) {
				dutyTimes.measure('slow runs', () => {
					runIsolated('slow runs', () => {
						hastener.checkRuns(sessions.values());
					});
				});
			}
		}),
		timers.scheduleEvery(jobCleanupPeriodMs, () => {
			runIsolated('forgetting', forgetEndedJobs);
		}),
	];
	planner.requestFullPlan();

	return {
		term,
		answer: async call => isStopped || !canAct() ? {type: 'unavailable'} : dutyTimes.measure(call.type, async () => answer(call)),
		stop() {
			isStopped = true;
			collections.disconnect();
			for (const cancel of cancelTimers) {
				cancel();
			}

			sessions.closeAll();
		},
	};
}
