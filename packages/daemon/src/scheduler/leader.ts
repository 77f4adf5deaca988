/**
 * The leading control host: it decides on requests, starts and stops tasks, and keeps the minions'
 * leases. All that must outlast it goes through the log first.
 */
import {
	waitFor, type NodeId, type TimerService, type WorkerId,
} from '@samphiremill/common';
import {
	findTask, getFillerPace, getLongestChainMs, getObjectiveMs, getStep, listForgettableJobs, planStarts,
	type Job, type Ledger, type LedgerCommand, type LedgerOutcome, type LifeId, type MinionRecord, type RunAssignment,
} from '@samphiremill/core';
import type {DecisionLog} from '../runtime/types.js';
import {createAdviceDesk, createStepId} from './advice-desk.js';
import {createCallHandlers} from './call-handlers.js';
import {
	forgetPeriodMs, leaderTickMs, minionAbsenceMs, planGapMs,
} from './constants.js';
import {createDemandMeter} from './demand-meter.js';
import type {SchedulerMetrics} from './metrics.js';
import {openMinionSession, type MinionSession} from './minion-session.js';
import {createPoolView} from './pool-view.js';
import {createRunHastener} from './run-hastener.js';
import type {SessionContext} from './session-context.js';
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
	/** How long the end of a job is told after it, in milliseconds. */
	readonly retentionMs: number;
	/** Whether the platform switches workers between pools and has them maintained. */
	readonly hasWorkerOrders: boolean;
	/** How long the platform takes to move a worker to another pool, in milliseconds. */
	readonly workerMoveMs: number;
	/** For how long a leader leaves a worker alone after an order of another, in milliseconds. */
	readonly workerTurnMs: number;
};

/** How a proposal to the log ended. */
export type Decision
	= | {readonly type: 'applied'; readonly outcome: LedgerOutcome | undefined}
		| {readonly type: 'notProposed'}
		| {readonly type: 'unknown'};

/** What a leader needs. */
export type LeaderOptions = {
	readonly self: NodeId;
	readonly term: number;
	readonly limits: SchedulerLimits;
	readonly timers: TimerService;
	readonly log: DecisionLog;
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
	const sessions = new Map<LifeId, MinionSession>();
	const beganAtMs = timers.getNow();
	let isStopped = false;
	let isPlanning = false;
	let isPlanWanted = false;
	let planBeganAtMs: number | undefined;
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

	const isAtWork = () => !isStopped;

	const decide = async (command: LedgerCommand): Promise<boolean> => {
		if (isStopped) {
			return false;
		}

		const decision = await propose(command);
		return decision.type === 'applied' && !isStopped;
	};

	const desk = createAdviceDesk({
		advice: options.advice,
		timers,
		log,
		listMinions: pool => [...sessions.values()].filter(({record}) => record.pool === pool).map(({record}) => record),
		onAdvised() {
			wantPlan();
		},
	});

	const sessionContext: SessionContext = {
		timers,
		metrics,
		minions,
		log,
		fencingToken: term,
		leaseMs: limits.leaseMs,
		termBeganAtMs: beganAtMs,
		getLedger,
		canAct: () => !isStopped && canAct(),
		decide,
		getWallClock,
		onChanged() {
			syncSessions();
			wantPlan();
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

	// Sessions follow the lives that the ledger knows.
	const syncSessions = () => {
		const {lives} = getLedger();
		for (const [life, session] of sessions) {
			if (!lives.has(life)) {
				session.close();
				sessions.delete(life);
			}
		}

		for (const [life, {record}] of lives) {
			if (!sessions.has(life)) {
				sessions.set(life, openMinionSession(record, sessionContext));
			}
		}

		minions.retain(new Set([...sessions.values()].map(({record}) => record.address)));
	};

	const isPlaceable = ({record: {worker}, isUsable}: MinionSession) => isUsable() && !upkeep.isCordoned(worker) && !moves.isCordoned(worker);

	const logAssignments = (runs: readonly RunAssignment[]) => {
		const byJob = new Map<string, RunAssignment[]>();
		for (const run of runs) {
			const job = run.task.slice(0, run.task.indexOf('.'));
			byJob.set(job, [...byJob.get(job) ?? [], run]);
		}

		for (const [job, assigned] of byJob) {
			log.info(`job ${job}: ${assigned.length} tasks start`, {
				id: job,
				starts: assigned.map(({task, run, life}) => `${task.slice(job.length + 1)}#${run}@${getLedger().lives.get(life)?.record.minion ?? life}`).join(' '),
			});
		}
	};

	const listWorkersDue = () => new Set([...getLedger().waves.values()].flatMap(({workers: members, ordered}) => members.filter(worker => !ordered.has(worker))));

	const plan = async () => {
		const wantedAtMs = timers.getNow();
		const due = listWorkersDue();
		const runs = planStarts({
			ledger: getLedger(),
			nowMs: getWallClock(),
			minions: [...sessions.values()].filter(session => isPlaceable(session)).map(session => ({
				record: session.record, runBound: session.getRunBound(), isLeavingSoon: due.has(session.record.worker), isSuspect: session.isSuspect(),
			})),
			isAllowed: desk.isAllowed,
			isAvoided: (task, life) => hastener.isAvoided(task.id, life),
			copies: hastener.listWantedCopies(),
		});
		if (runs.length === 0) {
			return;
		}

		planBeganAtMs = timers.getNow();
		const decision = await propose({type: 'runs/assigned', term, runs});
		planBeganAtMs = undefined;
		if (decision.type !== 'applied' || decision.outcome?.type !== 'assigned' || isStopped) {
			return;
		}

		logAssignments(decision.outcome.runs);
		metrics.record('plan_ms', timers.getNow() - wantedAtMs);
		for (const assignment of decision.outcome.runs) {
			metrics.count('runs_assigned_total');
			sessions.get(assignment.life)?.start(assignment);
		}
	};

	const runPlans = async () => {
		isPlanning = true;
		while (isPlanWanted && isAtWork()) {
			isPlanWanted = false;
			if (canAct()) {
				await plan(); // eslint-disable-line no-await-in-loop -- each plan builds on the one before
			}

			await waitFor(timers, planGapMs); // eslint-disable-line no-await-in-loop -- gathers what comes at once
		}

		isPlanning = false;
	};

	const wantPlan = () => {
		isPlanWanted = true;
		if (!isPlanning && !isStopped) {
			void runPlans();
		}
	};

	// What runs of a job that is over, or of a task that another copy has done, is stopped.
	const stopNeedless = () => {
		const ledger = getLedger();
		for (const [life, {runs}] of ledger.lives) {
			for (const id of runs.keys()) {
				const task = findTask(ledger, id);
				if (task !== undefined && (task.job.status !== 'active' || task.isDone)) {
					sessions.get(life)?.stop(id, task.isDone ? 'another copy is done' : `the job is ${task.job.status}`);
				}
			}
		}
	};

	// Whether no plan that was begun before that moment is still on its way into the log.
	const isSettledSince = (sinceMs: number) => planBeganAtMs === undefined || planBeganAtMs > sinceMs;

	const paceFillers = () => {
		const ledger = getLedger();
		for (const session of sessions.values()) {
			const runs = session.listRuns().map(run => ({run, task: findTask(ledger, run.task)}));
			const fillers = runs.filter(({task}) => task !== undefined && getStep(task).isFiller);
			if (fillers.length === 0) {
				continue;
			}

			const tails = runs.flatMap(({run, task}) => {
				const boundMs = task && getStep(task).tailBoundMs;
				return boundMs === undefined || boundMs === 0 ? [] : [{tailMs: run.gauge, boundMs}];
			});
			for (const {run} of fillers) {
				session.setPace(run.task, getFillerPace(tails, run.pacePercent));
			}
		}
	};

	const dropAbsentMinions = () => {
		for (const session of sessions.values()) {
			const hasRuns = (getLedger().lives.get(session.record.life)?.runs.size ?? 0) > 0;
			if (!hasRuns && timers.getNow() - session.getHeardAtMs() > minionAbsenceMs) {
				log.info(`minion ${session.record.minion} is gone: neither reports nor answers`, {minion: session.record.minion, life: session.record.life});
				void decide({type: 'minion/left', term, life: session.record.life}).then(sessionContext.onChanged);
			}
		}
	};

	const moves = createWorkerMoves({
		metrics,
		timers,
		log,
		workers,
		orders,
		isSettledSince,
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
		onChanged: sessionContext.onChanged,
	});

	const pools = createPoolView({
		timers, demand, getLedger, getWallClock, isPlaceable, listSessions: () => sessions.values(), listSwitchedOff: moves.listSwitchedOff, getIncomingMillicores: moves.getIncomingMillicores,
	});

	const upkeep = createUpkeepDuty({
		timers, log, metrics, workers, orders, sessions, getLedger, getWallClock, listSwitchedOff: moves.listSwitchedOff, isMoving: moves.isMoving, listPressed: pools.listPressed, isSettledSince, term, decide, onChanged: sessionContext.onChanged,
	});

	const tick = () => {
		if (!canAct()) {
			return;
		}

		for (const session of sessions.values()) {
			session.tick();
		}

		hastener.forgetTasks();
		stopNeedless();
		if (limits.hasWorkerOrders) {
			upkeep.tick();
			moves.tick();
		}

		dropAbsentMinions();
		wantPlan();
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
		term, log, metrics, sessions, demand, pools, getLedger, getWallClock, propose, decide, checkConfiguration: options.checkConfiguration, wantPlan, stopNeedless, onChanged: sessionContext.onChanged,
	});

	syncSessions();
	const cancelTimers = [
		timers.scheduleEvery(leaderTickMs, tick),
		timers.scheduleEvery(leaderTickMs * 5, paceFillers),
		timers.scheduleEvery(judgePeriodMs, () => {
			if (canAct()) {
				hastener.look(sessions.values());
			}
		}),
		timers.scheduleEvery(forgetPeriodMs, forget),
	];
	wantPlan();

	return {
		term,
		answer: async call => isStopped || !canAct() ? {type: 'unavailable'} : answer(call),
		stop() {
			isStopped = true;
			for (const cancel of cancelTimers) {
				cancel();
			}

			for (const session of sessions.values()) {
				session.close();
			}
		},
	};
}
