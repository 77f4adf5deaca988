/**
 * The leading control host: it decides on requests, starts and stops tasks, and keeps the minions'
 * leases. All that must outlast it goes through the log first.
 */
import type {
	NodeId, PoolId, TimerService, WorkerId,
} from '@samphiremill/common';
import {
	admitJob, countPendingJobs, findTask, getFillerPace, getLongestChainMs, getObjectiveMs, getShownState,
	getStep, getWork, idlePool, isJobId, isWaveCompleted, listForgettableJobs, measurePools, measureWorkAhead,
	planStarts, planUpkeep,
	type Job, type Ledger,
	type LedgerCommand, type LedgerOutcome, type LifeId, type PoolLoad, type PoolPressure, type Resources, type RunAssignment, type Task, type TaskId, type TeamDefinition, type UpkeepRequest,
	type WorkerView,
} from '@samphiremill/core';
import type {DecisionLog} from '../runtime/types.js';
import {createAdviceDesk, createStepId} from './advice-desk.js';
import {
	forgetPeriodMs, leaderTickMs, minionAbsenceMs, planGapMs,
} from './constants.js';
import {createDemandMeter} from './demand-meter.js';
import type {SchedulerMetrics} from './metrics.js';
import {createAcceptedJob, getAccess} from './job-access.js';
import {openMinionSession, type MinionSession, type SessionContext} from './minion-session.js';
import {createStragglerWatch, judgePeriodMs, type Straggler} from './straggler-watch.js';
import type {
	AdvicePort, CallerTarget, ClusterAnswer, ClusterCall, ConfigurationFinding, MinionPort, MinionReport, WorkerPort,
} from './types.js';
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

// A pool of which this part of its processors is wanted keeps its workers.
const pressedShare = 0.6;

// Counts as a run that takes this many times what it takes elsewhere.
const stalledSlowness = 10;

const sumMillicores = (capacities: readonly Resources[]) => capacities.reduce((sum, {cpuMillicores}) => sum + cpuMillicores, 0);

const getLargest = (capacities: readonly Resources[]): Resources | undefined => capacities.length === 0
	? undefined
	: {
		cpuMillicores: Math.max(...capacities.map(({cpuMillicores}) => cpuMillicores)),
		memoryMb: Math.max(...capacities.map(({memoryMb}) => memoryMb)),
		gpus: Math.max(...capacities.map(({gpus}) => gpus)),
	};

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
	let cordoned: ReadonlySet<WorkerId> = new Set();
	let planBeganAtMs: number | undefined;
	/** Where tasks failed or were slow, until they are over. */
	const failedLives = new Map<TaskId, ReadonlySet<LifeId>>();
	/** Tasks whose run was ended or copied once for being slow; they may just be long. */
	const hastened = new Set<TaskId>();
	const wantedCopies = new Set<TaskId>();
	const watch = createStragglerWatch({getLedger});
	const cordonedSince = new Map<WorkerId, number>();
	const orders = createWorkerOrders({
		self, term, timers, canAct: () => !isStopped && canAct(),
	});
	const demand = createDemandMeter(timers);

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

	const avoidLife = (task: TaskId, life: LifeId) => {
		failedLives.set(task, new Set([...failedLives.get(task) ?? [], life]));
	};

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
		noteFailure: avoidLife,
		noteDone: watch.noteDone,
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

	const isPlaceable = ({record: {worker}, isUsable}: MinionSession) => isUsable() && !cordoned.has(worker) && !moves.isCordoned(worker);

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
				record: session.record, runBound: session.getRunBound(), isLeavingSoon: due.has(session.record.worker) || getLedger().loans.has(session.record.worker), isSuspect: session.isSuspect(),
			})),
			isAllowed: desk.isAllowed,
			isAvoided: (task, life) => failedLives.get(task.id)?.has(life) ?? false,
			copies: listWantedCopies(),
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

			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop -- gathers what comes at once
				timers.scheduleOnce(planGapMs, resolve);
			});
		}

		isPlanning = false;
	};

	const wantPlan = () => {
		isPlanWanted = true;
		if (!isPlanning && !isStopped) {
			void runPlans();
		}
	};

	const listWantedCopies = () => [...wantedCopies]
		.map(id => findTask(getLedger(), id))
		.filter(task => task !== undefined);

	const hasten = ({session, task: id, ...judgement}: Straggler) => {
		const task = findTask(getLedger(), id);
		if (task === undefined || hastened.has(id) || task.job.status !== 'active' || task.runs.length !== 1) {
			return;
		}

		hastened.add(id);
		avoidLife(id, session.record.life);
		if (judgement.verdict === 'stalled') {
			session.notePace(stalledSlowness);
		}

		const hasCopy = getStep(task).allowsCopies;
		log.info(`task ${id} is ${judgement.verdict} and ${hasCopy ? 'gets a copy' : 'starts again elsewhere'}`, {
			id, minion: session.record.minion, ...judgement,
		});
		if (hasCopy) {
			wantedCopies.add(id);
		} else {
			session.stop(id, `it is ${judgement.verdict}`);
		}
	};

	const hastenStragglers = () => {
		if (canAct()) {
			for (const straggler of watch.look(sessions.values())) {
				hasten(straggler);
			}
		}
	};

	const forgetTasks = () => {
		for (const id of [...hastened, ...wantedCopies, ...failedLives.keys()]) {
			const task = findTask(getLedger(), id);
			if (task === undefined || task.isDone) {
				hastened.delete(id);
				wantedCopies.delete(id);
				failedLives.delete(id);
			} else if (task.runs.length !== 1) {
				wantedCopies.delete(id);
			}
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

	// What a silent minion showed last says nothing of the present.
	const isServing = (task: Task) => task.runs.some(({life}) => {
		const session = sessions.get(life);
		const run = session?.getRun(task.id);
		return session !== undefined && session.isAnswering() && run?.servingSinceMs !== undefined && run.phase === 'running';
	});

	const getWorkerViews = () => {
		const views = new Map<WorkerId, WorkerView>();
		for (const session of sessions.values()) {
			const {worker, life} = session.record;
			views.set(worker, {worker, life, isUp: session.isUsable()});
		}

		return views;
	};

	// Whether no plan that was begun before that moment is still on its way into the log.
	const isSettledSince = (sinceMs: number) => planBeganAtMs === undefined || planBeganAtMs > sinceMs;

	const orderUpkeep = async ({wave, worker, life}: UpkeepRequest) => {
		const isKnown = getLedger().waves.get(wave)?.ordered.has(worker) ?? false;
		if (!orders.isOpen() || (!isKnown && !isSettledSince(cordonedSince.get(worker) ?? timers.getNow()))) {
			return;
		}

		const isNoted = isKnown || await decide({
			type: 'wave/workerOrdered', term, wave, worker, life,
		});
		if (!isNoted) {
			return;
		}

		const result = await orders.send(worker, `upkeep in wave ${wave}`, async authority => workers.beginUpkeep({...authority, worker, wave}));
		if (result === 'waiting') {
			return;
		}

		metrics.count('upkeeps_ordered_total', result);
		log.info(`upkeep of worker ${worker} in wave ${wave}: ${result}`, {
			worker, wave, life, result,
		});
		if (result === 'done' || result === 'notDue' || result === 'unknown') {
			await decide({
				type: 'wave/workerBegun', term, wave, worker, atMs: getWallClock(),
			});
			sessionContext.onChanged();
		}
	};

	const noteCordons = (workersNow: ReadonlySet<WorkerId>) => {
		for (const worker of workersNow) {
			if (!cordonedSince.has(worker)) {
				cordonedSince.set(worker, timers.getNow());
			}
		}

		for (const worker of cordonedSince.keys()) {
			if (!workersNow.has(worker)) {
				cordonedSince.delete(worker);
			}
		}

		cordoned = workersNow;
	};

	const listPlaceable = (pool: PoolId) => [...sessions.values()].filter(session => session.record.pool === pool && isPlaceable(session));

	const listPressures = (): readonly PoolPressure[] => {
		const measures = measurePools(getLedger(), getWallClock());
		return (getLedger().configuration?.pools ?? []).map(({pool, isStandby}) => {
			const {lastingMillicores, runningMillicores, readyMillicores} = measures.get(pool) ?? idlePool;
			const cpuMillicores = sumMillicores(listPlaceable(pool).map(({record}) => record.capacity));
			return {
				pool,
				isStandby,
				millicores: cpuMillicores + moves.getIncomingMillicores(pool) - lastingMillicores,
				runnableMillicores: runningMillicores + readyMillicores,
				inflowMillicores: demand.getRate(pool),
			};
		});
	};

	const listPressedPools = () => new Set(listPressures()
		.filter(({millicores, runnableMillicores, inflowMillicores}) => Math.max(runnableMillicores, inflowMillicores) > millicores * pressedShare)
		.map(({pool}) => pool));

	const runWaves = () => {
		const ledger = getLedger();
		if (ledger.waves.size === 0 || !limits.hasWorkerOrders) {
			return;
		}

		const pressed = listPressedPools();
		const upkeep = planUpkeep({
			ledger,
			nowMs: getWallClock(),
			workers: getWorkerViews(),
			switchedOff: new Set(moves.listSwitchedOff().map(({worker}) => worker)),
			isPressed({life}) {
				const pool = sessions.get(life)?.record.pool;
				return pool !== undefined && pressed.has(pool);
			},
			cordoned,
			isServing,
		});
		noteCordons(upkeep.cordoned);
		for (const task of upkeep.evictions) {
			for (const {life} of task.runs) {
				sessions.get(life)?.stop(task.id, 'its worker is due for upkeep');
			}
		}

		for (const request of upkeep.requests) {
			void orderUpkeep(request);
		}
	};

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
			runCount: getLedger().lives.get(record.life)?.runs.size ?? 0,
			isMovable: isUsable() && !cordoned.has(record.worker),
		})),
		listPressures,
		getLoans: () => getLedger().loans,
		decide,
		term,
		onChanged: sessionContext.onChanged,
	});

	const tick = () => {
		if (!canAct()) {
			return;
		}

		for (const session of sessions.values()) {
			session.tick();
		}

		forgetTasks();
		stopNeedless();
		runWaves();
		if (limits.hasWorkerOrders) {
			moves.tick();
		}

		dropAbsentMinions();
		wantPlan();
	};

	const forget = () => {
		watch.forget();
		desk.forget(step => findTask(getLedger(), `${step}.0`) === undefined);
		const ids = listForgettableJobs(getLedger(), {nowMs: getWallClock(), retentionMs: limits.retentionMs});
		if (ids.length > 0 && canAct()) {
			void decide({type: 'jobs/forgotten', ids});
		}
	};

	const getPoolLoad = (pool: PoolId, {team, work}: {readonly team: TeamDefinition | undefined; readonly work: number}): PoolLoad => {
		const {lastingMillicores} = measurePools(getLedger(), getWallClock()).get(pool) ?? idlePool;
		const capacities = listPlaceable(pool).map(({record}) => record.capacity);
		const cpuMillicores = sumMillicores(capacities);
		return {
			cpuMillicores: Math.max(0, cpuMillicores + moves.getIncomingMillicores(pool) - lastingMillicores),
			bound: {poolMillicores: cpuMillicores, teamMillicores: team?.maximum.cpuMillicores ?? 0},
			workAhead: measureWorkAhead(getLedger(), {pool, work, nowMs: getWallClock()}),
			largestMinion: getLargest(capacities),
		};
	};

	const submitJob = async ({target, specification}: ClusterCall & {type: 'job/submit'}): Promise<ClusterAnswer> => {
		const access = getAccess(getLedger(), target);
		if (access.type === 'denied') {
			return access.answer;
		}

		const {found: {queue, rest: id}, team} = access;
		if (!isJobId(id)) {
			return {type: 'invalidRequest', message: `"${id}" is not a job id of 16 hexadecimal digits`};
		}

		if (getLedger().jobs.has(id)) {
			return {type: 'accepted'};
		}

		const work = getWork(specification);
		demand.note(queue.pool, {id, work});
		const load = getPoolLoad(queue.pool, {team, work});
		const admission = admitJob(specification, queue, load);
		const inputs = {
			id,
			queue: queue.queue,
			pool: queue.pool,
			team: team?.team,
			expectedMs: Math.round(admission.expectedMs),
			workAheadCoreMs: Math.round(load.workAhead / 1000),
			poolMillicores: load.cpuMillicores,
			configuration: access.configuration.version,
		};
		if (admission.type === 'refused') {
			metrics.count('jobs_refused_total', admission.reason);
			log.info(`job ${id} is refused: ${admission.reason}`, {...inputs, reason: admission.reason, retryAfterMs: Math.round(admission.retryAfterMs)});
			return {type: 'refused', reason: admission.reason, retryAfterMs: admission.retryAfterMs};
		}

		const decision = await propose({
			type: 'job/accepted',
			job: createAcceptedJob({
				id, queue, team, specification, acceptedAtMs: getWallClock(),
			}),
		});
		log.info(`job ${id}: ${decision.type === 'applied' ? 'accepted' : decision.type}`, inputs);
		if (decision.type !== 'applied') {
			return {type: decision.type === 'notProposed' ? 'unavailable' : 'uncertain'};
		}

		metrics.count('jobs_accepted_total');
		wantPlan();
		return {type: 'accepted'};
	};

	const findOwnJob = (target: CallerTarget): {readonly job: Job} | {readonly answer: ClusterAnswer} => {
		const access = getAccess(getLedger(), target);
		if (access.type === 'denied') {
			return {answer: access.answer};
		}

		const {found: {queue, rest}, team} = access;
		if (rest === '') {
			return {answer: {type: 'pendingJobs', count: countPendingJobs(getLedger(), queue.queue)}};
		}

		const job = isJobId(rest) ? getLedger().jobs.get(rest) : undefined;
		// A foreign team is not told that the job exists.
		return job === undefined || (job.team !== undefined && job.team !== team?.team)
			? {answer: {type: 'unknownJob'}}
			: {job};
	};

	const readJob = ({target}: ClusterCall & {type: 'job/read'}): ClusterAnswer => {
		const found = findOwnJob(target);
		return 'answer' in found ? found.answer : {type: 'jobState', state: getShownState(found.job)};
	};

	const cancelJob = async ({target}: ClusterCall & {type: 'job/cancel'}): Promise<ClusterAnswer> => {
		const found = findOwnJob(target);
		if ('answer' in found) {
			return found.answer.type === 'pendingJobs' ? {type: 'unknownJob'} : found.answer;
		}

		const {id} = found.job;
		const decision = await propose({type: 'job/cancelled', id, atMs: getWallClock()});
		log.info(`job ${id}: cancel ${decision.type}`, {id, state: found.job.status});
		if (decision.type !== 'applied') {
			return {type: decision.type === 'notProposed' ? 'unavailable' : 'uncertain'};
		}

		metrics.count('jobs_cancelled_total');
		stopNeedless();
		wantPlan();
		return {type: 'done'};
	};

	const replaceConfiguration = async ({document}: ClusterCall & {type: 'configuration/replace'}): Promise<ClusterAnswer> => {
		const findings = options.checkConfiguration(document);
		if (findings.length > 0) {
			const message = findings.map(({path, message: text}) => `${path}: ${text}`).join('\n');
			log.warn(`a configuration is refused: ${message}`, {findings: findings.length});
			return {type: 'invalidRequest', message};
		}

		const decision = await propose({type: 'configuration/replaced', document});
		log.info(`configuration: ${decision.type}`, {inForce: getLedger().configuration?.version, outcome: decision.type === 'applied' ? decision.outcome?.type : undefined});
		wantPlan();
		return decision.type === 'applied' ? {type: 'done'} : {type: decision.type === 'notProposed' ? 'unavailable' : 'uncertain'};
	};

	const takeReport = async (report: MinionReport): Promise<ClusterAnswer> => {
		const {record} = report;
		if (!getLedger().lives.has(record.life)) {
			const isJoined = await decide({type: 'minion/joined', term, record});
			if (!isJoined) {
				return {type: 'unavailable'};
			}

			log.info(`minion ${record.minion} joined pool ${record.pool}`, {
				minion: record.minion, life: record.life, pool: record.pool, worker: record.worker, address: record.address, rack: record.rack,
			});
			sessionContext.onChanged();
		}

		sessions.get(record.life)?.takeReport(report);
		return {type: 'done'};
	};

	const takeLeave = async ({minion, bornAtMs}: ClusterCall & {type: 'minion/leave'}): Promise<ClusterAnswer> => {
		const lives = [...sessions.values()].filter(({record}) => record.minion === minion && (bornAtMs === undefined || record.bornAtMs === bornAtMs));
		for (const {record} of lives) {
			log.info(`minion ${minion} left`, {minion, life: record.life});
			const isNoted = await decide({type: 'minion/left', term, life: record.life}); // eslint-disable-line no-await-in-loop -- hardly ever more than one
			if (!isNoted) {
				return {type: 'unavailable'};
			}
		}

		sessionContext.onChanged();
		return {type: 'done'};
	};

	const startWave = async ({wave, durationMs}: ClusterCall & {type: 'wave/start'}): Promise<ClusterAnswer> => {
		const startedAtMs = getWallClock();
		const decision = await propose({type: 'wave/started', wave: {...wave, startedAtMs, dueAtMs: startedAtMs + durationMs}});
		log.info(`wave ${wave.wave}: ${decision.type}`, {
			wave: wave.wave, workers: wave.workers, maximumAtOnce: wave.maximumAtOnce, durationMs,
		});
		return decision.type === 'applied' ? {type: 'done'} : {type: decision.type === 'notProposed' ? 'unavailable' : 'uncertain'};
	};

	const readWave = ({wave}: ClusterCall & {type: 'wave/read'}): ClusterAnswer => {
		const known = getLedger().waves.get(wave);
		return known === undefined ? {type: 'unknownWave'} : {type: 'waveState', isCompleted: isWaveCompleted(known)};
	};

	const joinHost = async ({node, storeId}: ClusterCall & {type: 'host/join'}): Promise<ClusterAnswer> => {
		if (getLedger().controlHosts.get(node)?.storeId === storeId) {
			return {type: 'done'};
		}

		log.info(`control host ${node} joins`, {node, storeId});
		const isNoted = await decide({type: 'controlHost/joined', record: {node, storeId}});
		return {type: isNoted ? 'done' : 'unavailable'};
	};

	const readConfiguration = (): ClusterAnswer => {
		const {configuration} = getLedger();
		return configuration === undefined ? {type: 'noConfiguration'} : {type: 'configuration', document: configuration.document};
	};

	const readLimits = (): ClusterAnswer => {
		const {configuration} = getLedger();
		return configuration === undefined ? {type: 'noConfiguration'} : {type: 'limits', limits: configuration.limits};
	};

	const answer = async (call: ClusterCall): Promise<ClusterAnswer> => {
		if (isStopped || !canAct()) {
			return {type: 'unavailable'};
		}

		switch (call.type) {
			case 'job/submit': {
				return submitJob(call);
			}

			case 'job/read': {
				return readJob(call);
			}

			case 'job/cancel': {
				return cancelJob(call);
			}

			case 'configuration/replace': {
				return replaceConfiguration(call);
			}

			case 'configuration/read': {
				return readConfiguration();
			}

			case 'minion/report': {
				return takeReport(call.report);
			}

			case 'minion/leave': {
				return takeLeave(call);
			}

			case 'wave/start': {
				return startWave(call);
			}

			case 'wave/read': {
				return readWave(call);
			}

			case 'host/join': {
				return joinHost(call);
			}

			case 'limits/read': {
				return readLimits();
			}
		}
	};

	syncSessions();
	const cancelTimers = [
		timers.scheduleEvery(leaderTickMs, tick),
		timers.scheduleEvery(leaderTickMs * 5, paceFillers),
		timers.scheduleEvery(judgePeriodMs, hastenStragglers),
		timers.scheduleEvery(forgetPeriodMs, forget),
	];
	wantPlan();

	return {
		term,
		answer,
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
