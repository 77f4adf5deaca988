/**
 * Plans starts whenever something changed that may let a task start, pool by pool, and has them sent
 * once they are in the log.
 */
import {
	describeError, waitFor, type PoolId, type TimerService,
} from '@samphiremill/common';
import {
	getPoolIndex, planStarts, type Ledger, type LedgerCommand, type RunAssignment, type Task, type UsableMinion,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {AdviceCache} from './advice-desk.js';
import type {ProposalResult} from './command-batcher.js';
import {planIntervalMs} from './constants.js';
import type {DutyTimes} from './duty-times.js';
import type {SchedulerMetrics} from './metrics.js';
import type {MinionSession} from './minion-session.js';
import type {StragglerMitigator} from './run-hastener.js';
import type {SessionRegistry} from './session-registry.js';

/** What the planner needs of the leader. */
export type StartPlannerOptions = {
	readonly term: number;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly sessions: SessionRegistry;
	readonly adviceCache: AdviceCache;
	readonly hastener: StragglerMitigator;
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	readonly canAct: () => boolean;
	readonly isActive: () => boolean;
	/** Whether a minion may be given work. */
	readonly isPlaceable: (session: MinionSession) => boolean;
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	readonly measure: DutyTimes['measure'];
};

/** The planner of one leader. */
export type StartPlanner = {
	/** Plans for the pools that changed since they were last planned for. */
	readonly requestPlan: () => void;
	/** Plans for all pools: time has passed, or something changed that no pool's count shows. */
	readonly requestFullPlan: () => void;
	/** Whether no plan that was begun before that moment is still on its way into the log. */
	readonly areEarlierPlansSettled: (sinceMs: number) => boolean;
};

/**
 * @param options - What the planner needs.
 * @returns The planner.
 */
export function createStartPlanner({
	term, timers, log, metrics, sessions, adviceCache: desk, hastener, getLedger, getWallClock, canAct, isActive: isAtWork, isPlaceable, propose, measure,
}: StartPlannerOptions): StartPlanner {
	const plannedChangeCounts = new Map<PoolId, number>();
	let isPlanning = false;
	let isPlanWanted = false;
	let isFullPlanWanted = true;
	let proposedAtMs: number | undefined;

	const choosePools = (): ReadonlySet<PoolId> => {
		const {configuration, index} = getLedger();
		const pools = (configuration?.pools ?? []).map(({pool}) => pool);
		const chosen = pools.filter(pool => isFullPlanWanted || getPoolIndex(index, pool).changeCount !== plannedChangeCounts.get(pool));
		isFullPlanWanted = false;
		for (const pool of chosen) {
			plannedChangeCounts.set(pool, getPoolIndex(index, pool).changeCount);
		}

		return new Set(chosen.filter(pool => getPoolIndex(index, pool).ready.size > 0));
	};

	const listWorkersDueForMaintenance = () => new Set([...getLedger().waves.values()].flatMap(({workers: members, ordered}) => members.filter(worker => !ordered.has(worker))));

	const listUsableMinions = (pools: ReadonlySet<PoolId>): readonly UsableMinion[] => {
		const due = listWorkersDueForMaintenance();
		const minions: UsableMinion[] = [];
		for (const session of [...pools].flatMap(pool => [...sessions.listPool(pool)])) {
			if (isPlaceable(session)) {
				minions.push({
					record: session.record, runLimit: session.getMaximumRuns(), isDrainingSoon: due.has(session.record.worker), isSuspect: session.isSuspect(),
				});
			}
		}

		return minions;
	};

	const logAssignments = (runs: readonly RunAssignment[]) => {
		const byJob = new Map<string, RunAssignment[]>();
		for (const run of runs) {
			const job = run.task.slice(0, run.task.indexOf('.'));
			const assigned = byJob.get(job) ?? [];
			byJob.set(job, assigned);
			assigned.push(run);
		}

		for (const [job, assigned] of byJob) {
			log.info(`job ${job}: ${assigned.length} tasks start`, {
				id: job,
				starts: assigned.map(({task, run, life}) => `${task.slice(job.length + 1)}#${run}@${getLedger().incarnations.get(life)?.record.minion ?? life}`).join(' '),
			});
		}
	};

	const listAssignments = (): readonly RunAssignment[] => {
		const copies: readonly Task[] = hastener.listTasksToCopy();
		const pools = choosePools();
		const wanted = new Set([...pools, ...copies.map(({job}) => job.pool)]);
		return wanted.size === 0
			? []
			: planStarts({
				ledger: getLedger(),
				nowMs: getWallClock(),
				minions: listUsableMinions(wanted),
				isAllowed: desk.isAllowed,
				getAvoidedIncarnations: ({id}) => hastener.getAvoidedIncarnations(id),
				copies,
			});
	};

	const plan = async () => {
		const plannedAtMs = timers.getNow();
		const runs = measure('plans', listAssignments);
		if (runs.length === 0) {
			return;
		}

		proposedAtMs = timers.getNow();
		const decision = await propose({type: 'runs/assigned', term, runs});
		proposedAtMs = undefined;
		if (decision.type !== 'applied' || decision.outcome?.type !== 'assigned' || !isAtWork()) {
			isFullPlanWanted = true;
			return;
		}

		logAssignments(decision.outcome.runs);
		metrics.record('plan_ms', timers.getNow() - plannedAtMs);
		for (const assignment of decision.outcome.runs) {
			metrics.count('runs_assigned_total');
			sessions.get(assignment.life)?.start(assignment);
		}
	};

	const planSafely = async () => {
		try {
			await plan();
		} catch (err) {
			isFullPlanWanted = true;
			log.error('an unexpected error in the planning of starts', {err: describeError(err)});
		}
	};

	const runPlans = async () => {
		isPlanning = true;
		while (isPlanWanted && isAtWork()) {
			isPlanWanted = false;
			if (canAct()) {
				await planSafely(); // eslint-disable-line no-await-in-loop -- each plan builds on the one before
			}

			await waitFor(timers, planIntervalMs); // eslint-disable-line no-await-in-loop -- gathers what comes at once
		}

		isPlanning = false;
	};

	const wantPlan = () => {
		isPlanWanted = true;
		if (!isPlanning && isAtWork()) {
			void runPlans();
		}
	};

	return {
		requestPlan: wantPlan,
		requestFullPlan() {
			isFullPlanWanted = true;
			wantPlan();
		},
		areEarlierPlansSettled: sinceMs => proposedAtMs === undefined || proposedAtMs > sinceMs,
	};
}
