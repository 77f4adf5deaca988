/**
 * The leading control host: it decides on requests, starts and stops tasks, and keeps the minions'
 * leases. All that must outlast it goes through the log first.
 */
import {PerformanceObserver, performance} from 'node:perf_hooks';
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import {
	findTask, getLongestChainMs, getObjectiveMs, listForgettableJobs, listTasks,
	type Job, type Ledger, type LedgerCommand, type MinionRecord, type Task,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {createAdviceDesk, createStepId} from './advice-desk.js';
import {createCallHandlers} from './call-handlers.js';
import type {Decision} from './command-batcher.js';
import {
	doubtfulAbsenceMs, fillerPacePeriodMs, forgetPeriodMs, leaderTickMs, minionAbsenceMs,
} from './constants.js';
import {createDutyTimes} from './duty-times.js';
import {createErrorBoundary} from './error-boundary.js';
import {createDemandMeter} from './demand-meter.js';
import {createEndedLives} from './ended-lives.js';
import {paceFillers} from './filler-pacing.js';
import type {SchedulerMetrics} from './metrics.js';
import {openMinionSession, type MinionSession} from './minion-session.js';
import {createPoolView} from './pool-view.js';
import {createRunHastener} from './run-hastener.js';
import type {SessionContext} from './session-context.js';
import {createSessionRegistry} from './session-registry.js';
import {createStartPlanner} from './start-planner.js';
import {judgePeriodMs} from './straggler-watch.js';
import type {
	AdvicePort, ClusterAnswer, ClusterCall, ConfigurationFinding, MinionPort, WorkerPort,
} from './types.js';
import {createUpkeepDuty} from './upkeep-duty.js';
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
	readonly getOrderNotedAtMs: (worker: WorkerId) => number;
	readonly propose: (command: LedgerCommand) => Promise<Decision>;
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
const getKind = ({labels, rack, capacity: {gpus}}: MinionRecord) => [...labels.filter(label => label !== rack), gpus].join(' ');

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
		getNotedAtMs: options.getOrderNotedAtMs,
		canAct: () => !isStopped && canAct(),
		decide: async command => decide(command),
	});
	const demand = createDemandMeter(timers);

	const hastener = createRunHastener({getLedger, log});
	const contain = createErrorBoundary(log);
	const endedLives = createEndedLives(timers);
	let collectionMs = 0;
	const collections = new PerformanceObserver(list => {
		for (const {duration} of list.getEntries()) {
			collectionMs += duration;
		}
	});
	collections.observe({entryTypes: ['gc']});
	const times = createDutyTimes({timers, log, getWork: () => ({activeMs: performance.eventLoopUtilization().active, collectionMs})});

	const isAtWork = () => !isStopped;

	const decideHere = async (command: LedgerCommand): Promise<boolean> => {
		if (isStopped) {
			return false;
		}

		const decision = await propose(command);
		return decision.type === 'applied' && !isStopped;
	};

	const decide = async (command: LedgerCommand): Promise<boolean> => {
		// Noted first: a report may come as soon as the log has it.
		if (command.type === 'minion/left') {
			endedLives.note(command.life);
		}

		return decideHere(command);
	};

	const desk = createAdviceDesk({
		advice: options.advice,
		timers,
		log,
		listMinions: pool => [...sessions.listPool(pool)].map(({record}) => record),
		onAdvised() {
			planner.wantFullPlan();
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
		decide,
		getWallClock,
		onMinionsChanged() {
			times.measure('changes of minions', sessions.sync);
			planner.wantFullPlan();
		},
		onRunsEnded() {
			planner.wantPlan();
		},
		onFenced: options.onFenced,
		getTicket: (task, life) => desk.getTicket(createStepId(task), life),
		noteFailure: hastener.avoid,
		noteDone: hastener.noteDone,
		onEndsNoted(jobs) {
			for (const job of jobs.filter(({status}) => status !== 'active')) {
				logJobEnd(job);
			}
		},
		dropTicket(task, life) {
			desk.dropTicket(createStepId(task), life);
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
		term, timers, log, metrics, sessions, desk, hastener, getLedger, getWallClock, canAct, isAtWork, isPlaceable, propose, measure: times.measure,
	});

	const stopTaskRuns = (task: Task, reason: string) => {
		for (const {life} of task.runs) {
			sessions.get(life)?.stop(task.id, reason);
		}
	};

	// What runs of a job that is over, or of a task that another copy has done, is stopped.
	const stopNeedless = () => {
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
			const hasRuns = (getLedger().lives.get(session.record.life)?.runs.size ?? 0) > 0;
			const absenceMs = session.hasOpenLapses() ? doubtfulAbsenceMs : minionAbsenceMs;
			if (!hasRuns && timers.getNow() - session.getHeardAtMs() > absenceMs) {
				log.info(`minion ${session.record.minion} is gone: neither reports nor answers`, {minion: session.record.minion, life: session.record.life});
				// It may only have been cut off, and may come back.
				void decideHere({type: 'minion/left', term, life: session.record.life}).then(sessionContext.onMinionsChanged);
			}
		}
	};

	const moves = createWorkerMoves({
		metrics,
		timers,
		log,
		workers,
		orders,
		isSettledSince: planner.isSettledSince,
		listRunning: () => [...sessions.values()].map(({record, isUsable}) => ({
			worker: record.worker,
			life: record.life,
			pool: record.pool,
			millicores: record.capacity.cpuMillicores,
			kind: getKind(record),
			runCount: getLedger().lives.get(record.life)?.runs.size ?? 0,
			isMovable: isUsable(),
		})),
		listPressures: () => pools.listPressures(),
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

	const upkeep = createUpkeepDuty({
		timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, listSwitchedOff: moves.listSwitchedOff, isMoving: moves.isMoving, listPressed: pools.listPressed, isSettledSince: planner.isSettledSince, term, decide, onChanged: sessionContext.onMinionsChanged,
	});

	const tick = () => {
		if (!canAct()) {
			return;
		}

		times.report();
		times.measure('sessions', () => {
			for (const session of sessions.values()) {
				contain(`the session with minion ${session.record.minion}`, session.tick);
			}
		});
		contain('slow runs', hastener.forgetTasks);
		times.measure('stops', () => {
			contain('stops', stopNeedless);
		});
		if (limits.hasWorkerOrders) {
			times.measure('upkeep', () => {
				contain('upkeep', upkeep.tick);
			});
			times.measure('moves', () => {
				contain('moves', moves.tick);
			});
		}

		contain('absent minions', dropAbsentMinions);
		planner.wantFullPlan();
	};

	const forget = () => {
		hastener.forgetSteps();
		desk.forget(step => findTask(getLedger(), `${step}.0`) === undefined);
		const ids = listForgettableJobs(getLedger(), {nowMs: getWallClock(), retentionMs: limits.retentionMs});
		if (ids.length > 0 && canAct()) {
			void decide({type: 'jobs/forgotten', ids});
		}
	};

	const answer = createCallHandlers({
		term, timers, log, metrics, sessions, demand, pools, getLedger, getWallClock, propose, endedLives, decide: decideHere, checkConfiguration: options.checkConfiguration, wantPlan: planner.wantFullPlan, stopNeedless, onChanged: sessionContext.onMinionsChanged,
	});

	sessions.sync();
	const cancelTimers = [
		timers.scheduleEvery(leaderTickMs, tick),
		timers.scheduleEvery(fillerPacePeriodMs, () => {
			times.measure('fillers', () => {
				contain('fillers', () => {
					paceFillers(sessions.values(), getLedger());
				});
			});
		}),
		timers.scheduleEvery(judgePeriodMs, () => {
			if (canAct()) {
				times.measure('slow runs', () => {
					contain('slow runs', () => {
						hastener.look(sessions.values());
					});
				});
			}
		}),
		timers.scheduleEvery(forgetPeriodMs, () => {
			contain('forgetting', forget);
		}),
	];
	planner.wantFullPlan();

	return {
		term,
		answer: async call => isStopped || !canAct() ? {type: 'unavailable'} : times.measure(call.type, async () => answer(call)),
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
