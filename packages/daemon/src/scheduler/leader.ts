/**
 * The leading control host: answers calls, starts and stops tasks, and renews the leases on minions. State
 * that a later leader needs is committed to the replicated log first.
 */
import {PerformanceObserver, performance} from 'node:perf_hooks';
import type {NodeId, TimerService, WorkerId} from '@samphiremill/common';
import {
	findTask, getObjectiveMs, listTasks, sharedLossMs,
	type CrashVerdict, type Job, type Ledger, type LedgerCommand, type MaintenanceTimes, type MinionRecord, type Task,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {createAdviceCache, createStepId} from './advice-cache.js';
import {createCallTokens, createTokenPort} from './call-token.js';
import {createCallHandlers} from './call-handlers.js';
import {createCheckedMinionPort} from './checked-minion-port.js';
import type {ProposalResult} from './command-batcher.js';
import {
	lapsedStartAbsenceTimeoutMs, fillerPacePeriodMs, jobCleanupPeriodMs, leaderTickPeriodMs, maximumForgottenJobs, maximumMaintenanceShare, maximumMovesShare, minionAbsenceTimeoutMs, poolReportPeriodMs,
} from './constants.js';
import {createConfirmedStarts} from './confirmed-starts.js';
import {createDutyTimes} from './duty-times.js';
import {createErrorBoundary} from './error-boundary.js';
import {createDemandMeter} from './demand-meter.js';
import type {EndedJobs} from './ended-jobs.js';
import {createEndedIncarnations} from './ended-incarnations.js';
import {createFenceCheck} from './fence-check.js';
import {paceFillers} from './filler-pacing.js';
import type {SchedulerMetrics} from './metrics.js';
import {openMinionSession, type MinionSession} from './minion-session.js';
import {createPacedDuty} from './paced-duty.js';
import {defaultPolicy, type SchedulerPolicy} from './policy.js';
import {clearPoolGauges, reportPools} from './pool-report.js';
import {createPoolView} from './pool-view.js';
import {createReportedIncarnations} from './reported-incarnations.js';
import {createStartReports} from './start-reports.js';
import {createStartsUnderWay} from './starts-under-way.js';
import {createSteadyTime} from './steady-time.js';
import {createStragglerMitigator} from './straggler-mitigator.js';
import type {SessionContext} from './session-context.js';
import {createSessionRegistry} from './session-registry.js';
import {createStartPlanner, toUsableMinion} from './start-planner.js';
import {stragglerCheckPeriodMs} from './straggler-detector.js';
import type {
	AdvicePort, ClusterAnswer, ClusterCall, ConfigurationFinding, MinionPort, WorkerPort,
} from './types.js';
import {createMaintenanceController} from './maintenance-controller.js';
import {reportWaitingTasks, type MinionGate} from './waiting-report.js';
import {createWaitingTasks} from './waiting-tasks.js';
import {createWorkerMoves, type RunningWorker} from './worker-moves.js';
import {createWorkerOrders} from './worker-orders.js';

/** Configured durations and capabilities of the scheduler. */
export type SchedulerLimits = {
	/** Length of each lease on a minion, in milliseconds. */
	readonly leaseMs: number;
	/** Longest lease that a minion accepts, whatever deadline it is given, in milliseconds. */
	readonly longestHoldMs: number;
	/** How long an ended job can still be read, in milliseconds. */
	readonly retentionMs: number;
	/** Whether the platform takes orders to move workers between pools and to maintain them. */
	readonly hasWorkerOrders: boolean;
	/** How long the platform takes to move a worker to another pool, in milliseconds. */
	readonly workerMoveMs: number;
	/** How long a leader sends no orders for a worker after an order of another leader, in milliseconds. */
	readonly workerTurnMs: number;
};

/** Dependencies of a leader. */
export type LeaderOptions = {
	readonly self: NodeId;
	readonly term: number;
	readonly limits: SchedulerLimits;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly getWallClock: () => number;
	readonly getLedger: () => Ledger;
	/** The decisions; `defaultPolicy` by default. */
	readonly policy?: SchedulerPolicy;
	/** Whether this host is certain to lead at this time. */
	readonly canAct: () => boolean;
	/** When this host learnt of the latest order for a worker, on the monotonic clock. */
	readonly getLastOrderAtMs: (worker: WorkerId) => number;
	/** The times of waves, on the monotonic clock. */
	readonly maintenanceTimes: MaintenanceTimes;
	readonly endedJobs: Pick<EndedJobs, 'listExpired'>;
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	/** Gives up leadership, since minions have accepted orders of a newer leader. */
	readonly onFenced: () => void;
	readonly minions: MinionPort;
	/** Counts since the start of this process of what it sent and received, for the report of a busy second. */
	readonly getTraffic?: () => Readonly<Record<string, number>>;
	readonly advice: AdvicePort;
	readonly workers: WorkerPort;
	readonly checkConfiguration: (document: string) => readonly ConfigurationFinding[];
	readonly metrics: SchedulerMetrics;
};

/** A running leader. */
export type Leader = {
	readonly term: number;
	readonly answer: (call: ClusterCall) => Promise<ClusterAnswer>;
	readonly stop: () => void;
};

const maximumLoggedTasks = 24;

// The rack is also a label, but differs between workers of the same kind.
const getWorkerKind = ({labels, rack, capacity: {gpus}}: MinionRecord) => [...labels.filter(label => label !== rack), gpus].join(' ');

/** Starts the leader of a term. The first command of the term must have been committed and applied. */
export function startLeader(options: LeaderOptions): Leader {
	const {
		self, term, limits, timers, log, getWallClock, getLedger, propose, workers, metrics, policy = defaultPolicy,
	} = options;
	const minions = createCheckedMinionPort(options.minions, log);
	const termStartedAtMs = timers.getNow();
	const getSteadyTime = createSteadyTime({timers, getWallClock});
	let isStopped = false;
	const orders = createWorkerOrders({
		self,
		term,
		timers,
		turnMs: limits.workerTurnMs,
		getLedger,
		getLastOrderAtMs: options.getLastOrderAtMs,
		canAct: () => !isStopped && canAct(),
		commit: async command => commit(command),
	});
	const demand = createDemandMeter(timers);

	const stragglerMitigator = createStragglerMitigator({getLedger, log});
	const waitingTasks = createWaitingTasks({timers, getLedger});
	const confirmedStarts = createConfirmedStarts(getLedger);
	const runIsolated = createErrorBoundary(log);
	const endedIncarnations = createEndedIncarnations(timers);
	let collectionMs = 0;
	const collections = new PerformanceObserver(list => {
		for (const {duration} of list.getEntries()) {
			collectionMs += duration;
		}
	});
	collections.observe({entryTypes: ['gc']});
	const dutyTimes = createDutyTimes({
		timers, log, getProcessTimes: () => ({activeMs: performance.eventLoopUtilization().active, collectionMs}), getTraffic: options.getTraffic,
	});

	const isActive = () => !isStopped;

	const fenceCheck = createFenceCheck({
		timers,
		log,
		async confirmLead() {
			const {type} = await propose({type: 'term/begun', term});
			return type === 'applied' && getLedger().term === term;
		},
		countFollowers: without => [...sessions.values()].filter(({record, isAnswering}) => !without.has(record.life) && isAnswering()).length,
		giveWay: options.onFenced,
	});

	const canAct = () => options.canAct() && !fenceCheck.isPending();

	const logGiveUp = ({id, givenUp, acceptedAtMs, endedAtMs = acceptedAtMs}: Job) => {
		metrics.count('jobs_given_up_total');
		log.warn(`job ${id}: given up, since ${givenUp?.lives.length} minions crashed under task ${givenUp?.task}`, {
			id, task: givenUp?.task, crashed: givenUp?.lives, tookMs: Math.round(endedAtMs - acceptedAtMs),
		});
	};

	const logCrashes = (verdicts: readonly CrashVerdict[]) => {
		for (const {crash: {life, atMs, tasks, isSudden}, suspects, isShared, givenUp} of verdicts) {
			const job = givenUp === undefined ? undefined : getLedger().jobs.get(givenUp);
			metrics.count('minion_crashes_total', job === undefined ? 'unexplained' : 'explained');
			log.warn(`minion ${life} crashed under ${tasks.length} tasks`, {
				life,
				ageMs: Math.round(getSteadyTime() - atMs),
				tasks: tasks.slice(0, maximumLoggedTasks).map(id => `${id} ${findTask(getLedger(), id)?.losses.map(({ranMs}) => ranMs).join('/') ?? ''}`),
				suspects,
				isShared,
				isSudden,
				givenUp,
			});
			if (job !== undefined) {
				logGiveUp(job);
				logJobEnd(job);
			}
		}
	};

	const commitCurrentTerm = async (command: LedgerCommand): Promise<boolean> => {
		if (isStopped) {
			return false;
		}

		const carrier = confirmedStarts.addTo(addStartReport(command));
		const decision = await propose(carrier);
		if (decision.type !== 'applied') {
			confirmedStarts.recordUnapplied(carrier);
		}

		if (decision.type === 'applied' && decision.outcome?.type === 'applied') {
			logCrashes(decision.outcome.crashes ?? []);
		}

		return decision.type === 'applied' && !isStopped;
	};

	const commit = async (command: LedgerCommand): Promise<boolean> => {
		// Recorded before the commit, since a late report may arrive as soon as the command is applied.
		if (command.type === 'minion/left') {
			endedIncarnations.markEnded(command.life);
		}

		return commitCurrentTerm(command);
	};

	const adviceCache = createAdviceCache({
		advice: options.advice,
		timers,
		log,
		listMinions: pool => [...sessions.listPool(pool)].map(({record}) => record),
		compareSteps: policy.compareReadySteps,
		onTicketsReceived() {
			planner.requestFullPlan();
		},
	});

	const startsUnderWay = createStartsUnderWay({
		term, timers, log, getLedger, commit: commitCurrentTerm,
		hasFailedOn: ({id}, life) => stragglerMitigator.getAvoidedIncarnations(id)?.has(life) ?? false,
		getLatest(minion) {
			const session = sessions.getLatest(minion);
			return session && {life: session.record.life, isAnswering: session.isAnswering()};
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
		termBeganAtMs: termStartedAtMs,
		getLedger,
		canAct: () => !isStopped && canAct(),
		isLossShared: (life, atMs) => [...sessions.values()].some(({record, loss}) =>
			record.life !== life && !loss.wasLostSuddenly() && Math.abs((loss.getLostAtMs() ?? Number.NEGATIVE_INFINITY) - atMs) <= sharedLossMs),
		commit,
		getWallClock,
		getSteadyTime,
		onMinionsChanged() {
			dutyTimes.measure('changes of minions', sessions.sync);
			planner.requestFullPlan();
		},
		startsUnderWay,
		onStartRefused: waitingTasks.recordRefused,
		onRunStarted: waitingTasks.recordStarted,
		onStartConfirmed: confirmedStarts.record,
		onRunsEnded() {
			planner.requestPlan();
		},
		onFenced(life) {
			// The next incarnation refuses what its former session still had under way.
			if (sessions.get(life) !== undefined) {
				fenceCheck.recordFenced(life);
			}
		},
		getTicket: (task, life) => adviceCache.getTicket(createStepId(task), life),
		recordFailure: stragglerMitigator.avoidIncarnation,
		recordCompletion: stragglerMitigator.recordCompletion,
		onEndsRecorded(jobs) {
			for (const job of jobs.filter(({status}) => status !== 'active')) {
				logJobEnd(job);
			}
		},
		dropTicket(task, life) {
			adviceCache.dropTicket(createStepId(task), life);
		},
	};

	const logJobEnd = ({id, status, queue, pool, chainMs, stretchFactor, startLatencyMs, acceptedAtMs, endedAtMs = acceptedAtMs}: Job) => {
		const objectiveMs = Math.round(getObjectiveMs({stretchFactor, startLatencyMs}, chainMs));
		const tookMs = Math.round(endedAtMs - acceptedAtMs);
		log.info(`job ${id}: ${status} ${tookMs} ms after it was accepted, objective ${objectiveMs} ms`, {
			id, status, queue, pool, tookMs, objectiveMs, isLate: tookMs > objectiveMs,
		});
		metrics.count('jobs_ended_total', tookMs > objectiveMs ? `${status}Late` : status);
	};

	const callTokens = createCallTokens(term);
	const tokens = new WeakMap<MinionSession, number>();

	const openSession = (record: MinionRecord): MinionSession => {
		const token = callTokens.take();
		const session = openMinionSession(record, {...sessionContext, minions: createTokenPort(minions, token)});
		tokens.set(session, token);
		return session;
	};

	const sessions = createSessionRegistry({getLedger, open: openSession, retainAddresses: minions.retain});

	// A higher token would have the minion refuse the calls of its session.
	const getCallToken = ({minion, address}: MinionRecord): number => {
		const open = [...sessions.values()];
		const session = open.find(({record}) => record.minion === minion) ?? open.find(({record}) => record.address === address);
		return (session && tokens.get(session)) ?? callTokens.getLatest();
	};

	const findMinionGate = ({record: {worker}, getUnusableReason}: MinionSession): MinionGate | undefined => getUnusableReason()
		?? (maintenance.isCordoned(worker) ? 'maintenance' : undefined)
		?? (moves.isCordoned(worker) ? 'move' : undefined);

	const startReports = createStartReports({timers, getLedger, isCertain: ({task, run, life}) => sessions.get(life)?.isStartCertain(task, run) ?? false});

	const addStartReport = (command: LedgerCommand): LedgerCommand => dutyTimes.measure('start reports', () => startReports.addTo(command));

	const isPlaceable = (session: MinionSession) => findMinionGate(session) === undefined;

	const planner = createStartPlanner({
		term, timers, log, metrics, sessions, adviceCache, stragglerMitigator, getLedger, getWallClock, getSteadyTime, canAct, isActive, isPlaceable, propose: async command => propose(addStartReport(command)), measure: dutyTimes.measure, compareReadySteps: policy.compareReadySteps, getWaitMs: waitingTasks.getWaitMs, startsUnderWay, mayBeOrderedAway: orders.isInherited,
	});

	const stopTaskRuns = (task: Task, reason: string) => {
		for (const {life} of task.runs) {
			sessions.get(life)?.stop(task.id, reason);
		}
	};

	// Stops the runs of ended jobs, and of tasks that another copy has completed.
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
				stopTaskRuns(task, 'another copy has completed it');
			}
		}
	};

	const dropAbsentMinions = () => {
		for (const session of sessions.values()) {
			if (timers.getNow() - session.getLastContactAtMs() <= minionAbsenceTimeoutMs) {
				continue;
			}

			const hasRuns = (getLedger().incarnations.get(session.record.life)?.runs.size ?? 0) > 0;
			const absenceMs = session.hasUnblockedLapsedRuns() ? lapsedStartAbsenceTimeoutMs : minionAbsenceTimeoutMs;
			if (!hasRuns && timers.getNow() - session.getLastContactAtMs() > absenceMs) {
				log.info(`removing minion ${session.record.minion}, which neither reports nor answers`, {minion: session.record.minion, life: session.record.life});
				// The incarnation is not recorded as ended: it may only have been unreachable, and may report again.
				void commitCurrentTerm({type: 'minion/left', term, life: session.record.life}).then(sessionContext.onMinionsChanged);
			}
		}
	};

	// While nothing else is committed, nothing carries the report.
	const reportStarts = () => {
		const startReport = startReports.takeOverdue();
		if (startReport !== undefined) {
			void commitCurrentTerm({
				type: 'runs/assigned', term, runs: [], keepsLimits: true, startReport,
			});
		}
	};

	const toRunningWorker = ({record, isUsable}: MinionSession): RunningWorker => ({
		worker: record.worker,
		life: record.life,
		pool: record.pool,
		millicores: record.capacity.cpuMillicores,
		kind: getWorkerKind(record),
		runCount: getLedger().incarnations.get(record.life)?.runs.size ?? 0,
		isMovable: isUsable(),
	});

	const moves = createWorkerMoves({
		metrics,
		timers,
		log,
		workers,
		orders,
		areEarlierPlansSettled: planner.areEarlierPlansSettled,
		planWorkerMoves: policy.planWorkerMoves,
		listRunning: () => [...sessions.values()].map(session => toRunningWorker(session)),
		findRunning(worker) {
			const session = sessions.findByWorker(worker);
			return session && toRunningWorker(session);
		},
		pacePlans: createPacedDuty({timers, maximumShare: maximumMovesShare}),
		isRunning: sessions.hasWorker,
		listPoolBalances: () => pools.listPoolBalances(),
		isStandbyPool: pool => getLedger().configuration?.pools.some(definition => definition.isStandby && definition.pool === pool) ?? false,
		isCordonedForMaintenance: worker => maintenance.isCordoned(worker),
		moveMs: limits.workerMoveMs,
		commit,
		term,
		onChanged: sessionContext.onMinionsChanged,
	});

	const pools = createPoolView({
		timers, demand, policy, sessions, getLedger, getWallClock, isPlaceable, listSwitchedOff: moves.listSwitchedOff, getIncomingMillicores: moves.getIncomingMillicores, moveMs: limits.workerMoveMs, getAdviceWaitMs: adviceCache.getWaitMs,
	});

	const maintenance = createMaintenanceController({
		timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, times: options.maintenanceTimes, listSwitchedOff: moves.listSwitchedOff, isMoving: moves.isMoving, listLoadedPools: pools.listLoadedPools, listLongRunningTasksFor: planner.listLongRunningTasksFor, listUsableMinions: planner.listUsableMinions, isAllowed: adviceCache.isAllowed, areEarlierPlansSettled: planner.areEarlierPlansSettled, term, commit, onChanged: sessionContext.onMinionsChanged,
	});

	const paceMaintenance = createPacedDuty({timers, maximumShare: maximumMaintenanceShare});

	const tick = () => {
		if (!canAct()) {
			return;
		}

		dutyTimes.report();
		dutyTimes.measure('sessions', () => {
			// The log may have applied a joining or a departure whose outcome the leader did not learn.
			sessions.sync();
			for (const session of sessions.values()) {
				runIsolated(`the session with minion ${session.record.minion}`, session.tick);
			}
		});
		runIsolated('slow runs', stragglerMitigator.pruneTasks);
		dutyTimes.measure('stops', () => {
			runIsolated('stops', stopUnneededRuns);
		});
		if (limits.hasWorkerOrders) {
			dutyTimes.measure('upkeep', () => {
				runIsolated('upkeep', () => {
					paceMaintenance(maintenance.tick);
				});
			});
			dutyTimes.measure('moves', () => {
				runIsolated('moves', moves.tick);
			});
		}

		runIsolated('start reports', reportStarts);
		runIsolated('starts under way', startsUnderWay.forgetArrived);
		runIsolated('absent minions', dropAbsentMinions);
		runIsolated('waiting tasks', waitingTasks.refresh);
		planner.requestFullPlan();
	};

	const forgetEndedJobs = () => {
		stragglerMitigator.pruneSteps();
		adviceCache.forgetSteps(step => findTask(getLedger(), `${step}.0`) === undefined);
		const ids = options.endedJobs.listExpired(limits.retentionMs).slice(0, maximumForgottenJobs);
		if (ids.length > 0 && canAct()) {
			void commit({type: 'jobs/forgotten', ids});
		}
	};

	const reportedIncarnations = createReportedIncarnations({
		getCallToken, log, sessions, minions, countRuns: life => getLedger().incarnations.get(life)?.runs.size ?? 0, remove: async life => commit({type: 'minion/left', term, life}),
	});

	const answer = createCallHandlers({
		term, timers, log, metrics, sessions, demand, pools, admitJob: policy.admitJob, getLedger, getWallClock, propose, endedIncarnations, reportedIncarnations, isStartConfirmed: confirmedStarts.has, commit: commitCurrentTerm, checkConfiguration: options.checkConfiguration, requestPlan: planner.requestFullPlan, stopUnneededRuns, onChanged: sessionContext.onMinionsChanged,
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
						stragglerMitigator.checkRuns(sessions.values());
					});
				});
			}
		}),
		timers.scheduleEvery(poolReportPeriodMs, () => {
			if (canAct()) {
				runIsolated('report on pools', () => {
					reportPools(pools.listPoolBalances(), {log, metrics});
				});
				runIsolated('report on waiting tasks', () => {
					reportWaitingTasks(waitingTasks.list(), {
						log,
						getLedger,
						listMinions: pool => [...sessions.listPool(pool)].map(session => ({minion: toUsableMinion(session), gate: findMinionGate(session)})),
						isAllowed: adviceCache.isKnownAllowed,
						getWaitMs: waitingTasks.getWaitMs,
						getAwaitedMinion: startsUnderWay.getAwaitedMinion,
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
		answer: async call => isStopped || !options.canAct() ? {type: 'unavailable'} : dutyTimes.measure(call.type, async () => answer(call)),
		stop() {
			isStopped = true;
			clearPoolGauges(metrics);
			collections.disconnect();
			for (const cancel of cancelTimers) {
				cancel();
			}

			sessions.closeAll();
		},
	};
}
