/**
 * Plans the starts of tasks by pool whenever a change may allow a task to start, and sends them once they
 * are committed.
 */
import {
	describeError, waitFor, type PoolId, type TimerService, type WorkerId,
} from '@samphiremill/common';
import {
	findTask, getPoolIndex, getStep, planStarts, type Ledger, type LedgerCommand, type RunAssignment, type RunningSuspect, type StartPlanInput, type Task, type TaskId, type UsableMinion,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {createStepId, type AdviceCache} from './advice-cache.js';
import type {ProposalResult} from './command-batcher.js';
import {splitAssignments} from './command-parts.js';
import {planIntervalMs} from './constants.js';
import type {DutyTimes} from './duty-times.js';
import type {SchedulerPolicy} from './policy.js';
import type {SchedulerMetrics} from './metrics.js';
import type {MinionSession} from './minion-session.js';
import type {StragglerMitigator} from './straggler-mitigator.js';
import type {SessionRegistry} from './session-registry.js';
import {createStartLog} from './start-log.js';
import type {GetSteadyTime} from './steady-time.js';
import type {StartsUnderWay} from './starts-under-way.js';
import {findSuspectRuns} from './suspect-runs.js';

/** Dependencies of the planner. */
export type StartPlannerOptions = {
	readonly term: number;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly sessions: SessionRegistry;
	readonly adviceCache: AdviceCache;
	readonly stragglerMitigator: StragglerMitigator;
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	/** The clock of losses. */
	readonly getSteadyTime: GetSteadyTime;
	readonly canAct: () => boolean;
	readonly isActive: () => boolean;
	/** Whether tasks may be assigned to a minion. */
	readonly isPlaceable: (session: MinionSession) => boolean;
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	readonly measure: DutyTimes['measure'];
	readonly compareReadySteps: SchedulerPolicy['compareReadySteps'];
	readonly getWaitMs: StartPlanInput['getWaitMs'];
	readonly startsUnderWay: Pick<StartsUnderWay, 'getAwaitedMinion' | 'hasAny'>;
	/** Whether an order of an earlier leader may still take the worker away. */
	readonly mayBeOrderedAway: (worker: WorkerId) => boolean;
};

/** The planner of one leader. */
export type StartPlanner = {
	/** Requests a plan for the pools that changed since their last plan. */
	readonly requestPlan: () => void;
	/** Requests a plan for all pools: after time has passed, or after a change that the change counts of the pools don't show. */
	readonly requestFullPlan: () => void;
	/**
	 * Lists the waiting long-running tasks that could start on a minion now if its worker were not cordoned, whether or
	 * not other minions could take them.
	 */
	readonly listLongRunningTasksFor: (session: MinionSession) => readonly TaskId[];
	/** Lists the minions of a pool that may be given work now. */
	readonly listUsableMinions: (pool: PoolId) => readonly UsableMinion[];
	/** Whether no plan that was proposed at or before that time is still uncommitted. */
	readonly areEarlierPlansSettled: (timeMs: number) => boolean;
};

/** Returns what a plan has to know of a minion, given the workers that are due for maintenance. */
export function toUsableMinion({record, getRunLimit, getStartsLeft, isSuspect, listUnassignedTasks}: MinionSession, {due, crashSuspect, mayBeOrderedAway = false}: {
	readonly due?: ReadonlySet<WorkerId>;
	readonly mayBeOrderedAway?: boolean;
	readonly crashSuspect?: RunningSuspect | undefined;
} = {}): UsableMinion {
	return {
		record, runLimit: getRunLimit(), startsLeft: getStartsLeft(), isDrainingSoon: due?.has(record.worker) ?? false, isSuspect: isSuspect(), crashSuspect, mayBeOrderedAway, unassignedTasks: listUnassignedTasks(),
	};
}

/** Creates the planner of a new leader, which plans for all pools first. */
export function createStartPlanner({
	term, timers, log, metrics, sessions, adviceCache, stragglerMitigator, getLedger, getWallClock, getSteadyTime, canAct, isActive, isPlaceable, propose, measure, compareReadySteps, getWaitMs, startsUnderWay, mayBeOrderedAway,
}: StartPlannerOptions): StartPlanner {
	const startLog = createStartLog({getLedger, log, metrics});
	const plannedChangeCounts = new Map<PoolId, number>();
	let isPlanning = false;
	let isPlanRequested = false;
	let isFullPlanRequested = true;
	let proposedAtMs: number | undefined;
	/** Whether an earlier plan may still be applied. It is settled once a later proposal has been, since the log keeps their order. */
	let isOutcomeUnknown = false;
	let planCount = 0;

	const choosePools = (): ReadonlySet<PoolId> => {
		const {configuration, index} = getLedger();
		const pools = (configuration?.pools ?? []).map(({pool}) => pool);
		const chosen = pools.filter(pool => isFullPlanRequested || getPoolIndex(index, pool).changeCount !== plannedChangeCounts.get(pool));
		isFullPlanRequested = false;
		for (const pool of chosen) {
			plannedChangeCounts.set(pool, getPoolIndex(index, pool).changeCount);
		}

		return new Set(chosen.filter(pool => getPoolIndex(index, pool).ready.size > 0));
	};

	const listWorkersDueForMaintenance = () => new Set([...getLedger().waves.values()].flatMap(({workers: members, ordered}) => members.filter(worker => !ordered.has(worker))));

	const listSuspectRuns = () => findSuspectRuns({ledger: getLedger(), getSession: sessions.get, nowMs: timers.getNow()});

	const listUsableMinions = (pools: ReadonlySet<PoolId>, {byLife} = listSuspectRuns()): readonly UsableMinion[] => {
		const due = listWorkersDueForMaintenance();
		const minions: UsableMinion[] = [];
		for (const session of [...pools].flatMap(pool => [...sessions.listPool(pool)])) {
			if (isPlaceable(session)) {
				minions.push(toUsableMinion(session, {due, crashSuspect: byLife.get(session.record.life), mayBeOrderedAway: mayBeOrderedAway(session.record.worker)}));
			}
		}

		return minions;
	};

	const getAwaitedMinion = () => startsUnderWay.hasAny() ? startsUnderWay.getAwaitedMinion : undefined;

	const listAssignments = (): readonly RunAssignment[] => {
		const copies: readonly Task[] = stragglerMitigator.listTasksToCopy();
		const pools = choosePools();
		const wanted = new Set([...pools, ...copies.map(({job}) => job.pool)]);
		if (wanted.size === 0) {
			return [];
		}

		const suspectRuns = listSuspectRuns();
		return planStarts({
			ledger: getLedger(),
			nowMs: getWallClock(),
			lossNowMs: getSteadyTime(),
			minions: listUsableMinions(wanted, suspectRuns),
			isAllowed: adviceCache.isAllowed,
			getAvoidedIncarnations: ({id}) => stragglerMitigator.getAvoidedIncarnations(id),
			getWaitMs,
			getAwaitedMinion: getAwaitedMinion(),
			copies,
			poolsWithNewSuspects: suspectRuns.poolsWithNewSuspects,
			compare: compareReadySteps,
		});
	};

	const listLongRunningTasksFor = (session: MinionSession): readonly TaskId[] => {
		const {workload} = getPoolIndex(getLedger().index, session.record.pool);
		return workload.waitingLongRunningCount === 0 || !session.isUsable()
			? []
			: planStarts({
				ledger: getLedger(),
				nowMs: getWallClock(),
				lossNowMs: getSteadyTime(),
				minions: [toUsableMinion(session)],
				isAllowed: (step, life) => step.specification.isLasting && adviceCache.isAllowed(step, life),
				getAvoidedIncarnations: () => undefined,
				getWaitMs,
				getAwaitedMinion: getAwaitedMinion(),
				copies: [],
				compare: compareReadySteps,
			}).map(({task}) => task);
	};

	const settleEarlierPlan = async () => {
		const {type} = await propose({
			type: 'runs/assigned', term, runs: [], keepsLimits: true,
		});
		isOutcomeUnknown = type !== 'applied';
	};

	const getGang = ({task: id}: RunAssignment): string | undefined => {
		const task = findTask(getLedger(), id);
		return task !== undefined && getStep(task).isGang ? createStepId(task) : undefined;
	};

	const commitPart = async (planNumber: number, runs: readonly RunAssignment[]): Promise<ProposalResult['type']> => {
		const decision = await propose({
			type: 'runs/assigned', term, runs, keepsLimits: true,
		});
		if (decision.type === 'unknown') {
			startLog.recordUnknown(planNumber, runs);
		}

		if (decision.type !== 'applied' || decision.outcome?.type !== 'assigned' || !isActive()) {
			return decision.type === 'applied' ? 'notProposed' : decision.type;
		}

		const {runs: assigned, refused} = decision.outcome;
		startLog.recordAssigned(planNumber, assigned);
		startLog.recordRefused(planNumber, refused);
		for (const assignment of assigned) {
			sessions.get(assignment.life)?.start(assignment);
		}

		return decision.type;
	};

	// One after the other, so that callers are answered between the starts of a large plan. What follows a part that was not applied is planned again.
	const commitParts = async (planNumber: number, parts: ReadonlyArray<readonly RunAssignment[]>): Promise<ProposalResult['type']> => {
		for (const part of parts) {
			const result = await commitPart(planNumber, part); // eslint-disable-line no-await-in-loop -- one after the other
			if (result !== 'applied') {
				return result;
			}
		}

		return 'applied';
	};

	const plan = async () => {
		// The capacity that the earlier plan uses would be assigned twice.
		if (isOutcomeUnknown) {
			await settleEarlierPlan();
		}

		if (isOutcomeUnknown) {
			return;
		}

		const plannedAtMs = timers.getNow();
		const runs = measure('plans', listAssignments);
		if (runs.length === 0) {
			return;
		}

		proposedAtMs = timers.getNow();
		planCount += 1;
		const planNumber = planCount;
		const result = await commitParts(planNumber, splitAssignments(runs, getGang));
		proposedAtMs = undefined;
		isOutcomeUnknown = result === 'unknown';
		isFullPlanRequested ||= result !== 'applied';
		metrics.record('plan_ms', timers.getNow() - plannedAtMs);
	};

	const planSafely = async () => {
		try {
			await plan();
		} catch (err) {
			isFullPlanRequested = true;
			log.error('unexpected error in the planning of starts', {err: describeError(err)});
		}
	};

	const runPlans = async () => {
		isPlanning = true;
		while (isPlanRequested && isActive()) {
			isPlanRequested = false;
			if (canAct()) {
				await planSafely(); // eslint-disable-line no-await-in-loop -- each plan builds on the previous one
			}

			await waitFor(timers, planIntervalMs); // eslint-disable-line no-await-in-loop -- batches changes that arrive together
		}

		isPlanning = false;
	};

	const requestPlan = () => {
		isPlanRequested = true;
		if (!isPlanning && isActive()) {
			void runPlans();
		}
	};

	return {
		requestPlan,
		requestFullPlan() {
			isFullPlanRequested = true;
			requestPlan();
		},
		listLongRunningTasksFor,
		listUsableMinions: pool => listUsableMinions(new Set([pool])),
		areEarlierPlansSettled: timeMs => !isOutcomeUnknown && (proposedAtMs === undefined || proposedAtMs > timeMs),
	};
}
