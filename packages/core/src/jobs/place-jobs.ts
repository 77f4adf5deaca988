/**
 * Places waiting jobs while a team may run another job and a minion has free capacity.
 */
import {
	type MinionId, type PoolId, type TeamId,
} from '@samphiremill/common';
import {getItemAt, getItemCount} from '../collections/sorted-set.js';
import {
	chooseMinion, type Candidate, type PlacementChoice, type TaskSize,
} from '../placement/index.js';
import {pickTeam, removeTeam, type TeamPick} from '../shares/index.js';
import {changePool, changePoolTeam, changeState} from './change-state.js';
import {estimateSize, getLatestStartMs, getShareSlots} from './estimates.js';
import {getFrontJob, removeTicket} from './job-queue.js';
import {putJob} from './job-table.js';
import {getWorkerHealth} from './minions.js';
import {getPool, getPoolTeam, updatePoolTeam} from './pool-teams.js';
import {addReservation, markDispatched} from './reservations.js';
import {createRetryBudget, creditRetryBudget} from './retry-budget.js';
import type {
	Context, JobsState, JobsStep, JobState, MinionState, Placement, Reservation,
} from './state.js';
import type {JobsDecision, JobsEffect} from './types.js';

type QueuedJob = JobState & {readonly type: 'queued'};
type ReservedJob = JobState & {readonly type: 'reserved'};

function getCandidate(state: JobsState, id: MinionId): Candidate | undefined {
	const minion = state.minions.get(id);
	if (minion === undefined) {
		return undefined;
	}

	const {info, usedSlots, usedCores, usedMemoryMb} = minion;
	return {
		minion: id,
		worker: info.worker,
		rack: info.rack,
		usedSlots,
		heldSlots: info.heldSlots,
		freeCores: info.cores - usedCores,
		freeMemoryMb: info.memoryMb - usedMemoryMb,
		failuresInRow: getWorkerHealth(state, info.worker).failuresInRow,
	};
}

function findNextJob(state: JobsState, pool: PoolId, pick: TeamPick): QueuedJob | undefined {
	const {urgent, ordinary} = getPoolTeam(state, {pool, team: pick.team});
	const id = getFrontJob(urgent) ?? getFrontJob(ordinary);
	const job = id === undefined ? undefined : state.jobs.get(id);
	return job?.type === 'queued' ? job : undefined;
}

function choosePlacement(options: {
	readonly state: JobsState;
	readonly job: QueuedJob;
	readonly size: TaskSize;
	readonly minionKeptFree: MinionId | undefined;
	readonly context: Context;
}): PlacementChoice | undefined {
	const {state, job, size, minionKeptFree, context} = options;
	const {runningByRack} = getPoolTeam(state, job.spec);
	return chooseMinion({
		ready: getPool(state, job.spec.pool).ready,
		getCandidate: minion => minion === minionKeptFree ? undefined : getCandidate(state, minion),
		request: {size, avoidedWorkers: job.failedWorkers, getTeamUsageOfRack: rack => runningByRack.get(rack, 0)},
		choices: context.cfg.placementChoices,
		random: context.cfg.random,
	});
}

/**
 * Returns whether the job needs a start record, which prevents a second run under the same key. An
 * idempotent job may run again, and a job without a key cannot be submitted a second time, so neither
 * needs one.
 */
function needsStartRecord({spec}: JobState): boolean {
	return !spec.isIdempotent && spec.idempotencyKey !== undefined;
}

function createReservation(options: {
	readonly state: JobsState;
	readonly job: QueuedJob;
	readonly size: TaskSize;
	readonly candidate: Candidate;
	readonly incarnation: number;
	readonly nowMs: number;
}): Reservation {
	const {state, job, size, candidate, incarnation, nowMs} = options;
	const {spec} = job;
	return {
		job: spec.job,
		attempt: job.attempt + 1,
		minion: candidate.minion,
		incarnation,
		worker: candidate.worker,
		rack: candidate.rack,
		pool: spec.pool,
		team: spec.team,
		queue: spec.queue,
		urgency: spec.urgency,
		shareSlots: getShareSlots(getPool(state, spec.pool), size),
		cores: size.cores,
		memoryMb: size.memoryMb,
		reservedAtMs: nowMs,
		isDispatched: !needsStartRecord(job),
		hasConnection: true,
	};
}

function createPlacedDecision(options: {
	readonly job: QueuedJob;
	readonly choice: PlacementChoice;
	readonly pick: TeamPick;
	readonly candidatesCounted: number;
}): JobsDecision {
	const {job, choice, pick, candidatesCounted} = options;
	const {spec} = job;
	return {
		kind: 'placed',
		job: spec.job,
		team: spec.team,
		queue: spec.queue,
		pool: spec.pool,
		worker: choice.candidate.worker,
		minion: choice.candidate.minion,
		attempt: job.attempt + 1,
		reason: pick.reason,
		alternativesCounted: choice.compared,
		candidatesCounted,
	};
}

/** Hands a reserved job to the shell. */
export function dispatchJob(state: JobsState, job: ReservedJob): JobsStep {
	const {spec, attempt, minion, incarnation} = job;
	const {timerAtMs: _, ...rest} = job;
	const dispatched = putJob(state, {...rest, type: 'dispatched', dueAtMs: spec.deadlineAtMs});
	return {
		state: markDispatched(dispatched, {job: spec.job, attempt}),
		effects: [{
			type: 'jobs/dispatch', job: spec.job, attempt, minion, incarnation, deadlineAtMs: spec.deadlineAtMs,
		}],
	};
}

function startAttempt(state: JobsState, options: {
	readonly job: QueuedJob;
	readonly placed: Placement;
	readonly context: Context;
}): JobsStep {
	const {job, placed, context} = options;
	const {spec, mayHaveRun, failedWorkers} = job;
	const attempt = job.attempt + 1;
	const {minion, worker, incarnation} = placed;
	if (needsStartRecord(job)) {
		const dueAtMs = Math.min(spec.deadlineAtMs, context.nowMs + context.cfg.claimTimeoutMs);
		return {
			state: putJob(state, {
				type: 'reserved', spec, attempt, mayHaveRun, failedWorkers, dueAtMs, minion, worker, incarnation,
			}),
			effects: [{
				type: 'jobs/recordStart', job: spec.job, attempt, spec, minion,
			}],
		};
	}

	const {deadlineAtMs} = spec;
	return {
		state: putJob(state, {
			type: 'dispatched', spec, attempt, mayHaveRun, failedWorkers, dueAtMs: deadlineAtMs, minion, worker, incarnation,
		}),
		effects: [{
			type: 'jobs/dispatch', job: spec.job, attempt, minion, incarnation, deadlineAtMs,
		}],
	};
}

function creditFirstAttempt(state: JobsState, job: QueuedJob, {cfg}: Context): JobsState {
	if (job.attempt > 0) {
		return state;
	}

	const budget = state.retryBudgets.get(job.spec.queue) ?? createRetryBudget(cfg.maximumRetryTokens);
	const credited = creditRetryBudget(budget, {ratio: cfg.retryRatio, maximumTokens: cfg.maximumRetryTokens});
	return credited.tokens === budget.tokens && state.retryBudgets.has(job.spec.queue)
		? state
		: changeState(state, {retryBudgets: state.retryBudgets.set(job.spec.queue, credited)});
}

function raiseServedFloor(state: JobsState, {pool, team}: JobState['spec']): JobsState {
	const before = getPool(state, pool);
	const {servedPerWeight} = getPoolTeam(state, {pool, team});
	return servedPerWeight <= before.servedFloor
		? state
		: changeState(state, {pools: state.pools.set(pool, changePool(before, {servedFloor: servedPerWeight}))});
}

function placeNextJob(state: JobsState, options: {
	readonly job: QueuedJob;
	readonly pick: TeamPick;
	readonly size: TaskSize;
	readonly minionKeptFree: MinionId | undefined;
	readonly context: Context;
}): JobsStep | undefined {
	const {job, pick, size, minionKeptFree, context} = options;
	const {spec, ticket} = job;
	const choice = choosePlacement({
		state, job, size, minionKeptFree, context,
	});
	const incarnation = choice && state.minions.get(choice.candidate.minion)?.info.incarnation;
	if (choice === undefined || incarnation === undefined) {
		return undefined;
	}

	const {candidate} = choice;
	const reservation = createReservation({
		state, job, size, candidate, incarnation, nowMs: context.nowMs,
	});
	const withRetryCredit = raiseServedFloor(creditFirstAttempt(state, job, context), spec);
	const added = addReservation(withRetryCredit, reservation, poolTeam => changePoolTeam(poolTeam, {
		[spec.urgency]: removeTicket(poolTeam[spec.urgency], ticket),
		dispatched: poolTeam.dispatched + Number(reservation.isDispatched),
	}));
	const placed = {minion: candidate.minion, worker: candidate.worker, incarnation};
	const started = startAttempt(added.state, {job, placed, context});
	const candidatesCounted = getItemCount(getPool(state, spec.pool).ready);
	const decision = createPlacedDecision({
		job, choice, pick, candidatesCounted,
	});
	return {
		state: started.state,
		effects: [{type: 'jobs/decision', decision}, ...added.effects, ...started.effects],
	};
}

/** Removes a team from the order for the rest of the round. */
function skipTeam(state: JobsState, pool: PoolId, team: TeamId): JobsState {
	const before = getPool(state, pool);
	const poolTeam = getPoolTeam(state, {pool, team});
	if (poolTeam.rank === undefined) {
		return state;
	}

	const order = removeTeam(before.order, poolTeam.rank);
	const changed = changePool(before, {order, teams: before.teams.set(team, changePoolTeam(poolTeam, {rank: undefined}))});
	return changeState(state, {pools: state.pools.set(pool, changed)});
}

/**
 * Returns the maximum free cores and memory over all ready minions. After further placements it is an
 * upper bound.
 */
function getMaximumFreeSize(state: JobsState, pool: PoolId): TaskSize {
	const {ready} = getPool(state, pool);
	let [cores, memoryMb] = [0, 0];
	for (let index = 0; index < getItemCount(ready); index += 1) {
		const minion = getItemAt(ready, index);
		const candidate = minion === undefined ? undefined : getCandidate(state, minion);
		cores = Math.max(cores, candidate?.freeCores ?? 0);
		memoryMb = Math.max(memoryMb, candidate?.freeMemoryMb ?? 0);
	}

	return {cores, memoryMb};
}

/**
 * Returns whether a job has used up half of the time until its latest start. Such a job must not be
 * overtaken by smaller jobs indefinitely.
 */
function isStarving(state: JobsState, {spec}: QueuedJob, nowMs: number): boolean {
	return nowMs - spec.submittedAtMs > (getLatestStartMs(state, spec) - spec.submittedAtMs) / 2;
}

/**
 * Finds the minion that is expected to have capacity for the job first: the least utilised one that is
 * large enough.
 */
function findMinionToKeepFree(state: JobsState, pool: PoolId, size: TaskSize): MinionId | undefined {
	let best: MinionState | undefined;
	for (const minion of state.minions.values()) {
		const {info, usedCores, usedMemoryMb} = minion;
		const isLargeEnough = info.pool === pool && info.isAcceptingWork && info.heldSlots > 0
			&& size.cores <= info.cores && size.memoryMb <= info.memoryMb;
		const utilisation = Math.max(usedCores / info.cores, usedMemoryMb / info.memoryMb);
		const lowestUtilisation = best === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(best.usedCores / best.info.cores, best.usedMemoryMb / best.info.memoryMb);
		best = isLargeEnough && utilisation < lowestUtilisation ? minion : best;
	}

	return best?.info.minion;
}

/** State of one placement round over the jobs of a pool. */
type PlacementRound = {
	readonly state: JobsState;
	readonly skippedTeams: readonly TeamId[];
	/** Upper bound of the free capacity of the ready minions; set once a job did not fit. */
	readonly maximumFreeSize?: TaskSize | undefined;
	/** Minion that gets no jobs in this round, so that capacity builds up for a starving job. */
	readonly minionKeptFree?: MinionId | undefined;
};

function exceedsFreeSize(size: TaskSize, maximumFreeSize: TaskSize | undefined): boolean {
	return maximumFreeSize !== undefined && (size.cores > maximumFreeSize.cores || size.memoryMb > maximumFreeSize.memoryMb);
}

function skipJob(round: PlacementRound, options: {
	readonly job: QueuedJob;
	readonly size: TaskSize;
	readonly nowMs: number;
}): PlacementRound {
	const {job, size, nowMs} = options;
	const {state, skippedTeams, maximumFreeSize, minionKeptFree} = round;
	const {pool, team} = job.spec;
	const shouldKeepMinionFree = minionKeptFree === undefined && isStarving(state, job, nowMs);
	return {
		state: skipTeam(state, pool, team),
		skippedTeams: [...skippedTeams, team],
		maximumFreeSize: maximumFreeSize ?? getMaximumFreeSize(state, pool),
		minionKeptFree: shouldKeepMinionFree ? findMinionToKeepFree(state, pool, size) : minionKeptFree,
	};
}

/**
 * Places the jobs of a pool in the order of its teams. A team whose next job does not fit on any
 * minion is skipped for this round. Once that job has used up half of its time, a minion is kept free
 * for it.
 */
export function placeWaitingJobs(state: JobsState, pool: PoolId, context: Context): JobsStep {
	const effects: JobsEffect[] = [];
	let round: PlacementRound = {state, skippedTeams: []};
	for (;;) {
		const {ready, order, heldSlots} = getPool(round.state, pool);
		const pick = getItemCount(ready) === 0 ? undefined : pickTeam(order, heldSlots);
		const job = pick && findNextJob(round.state, pool, pick);
		if (pick === undefined || job === undefined) {
			break;
		}

		const size = estimateSize(round.state, job.spec);
		const step = exceedsFreeSize(size, round.maximumFreeSize)
			? undefined
			: placeNextJob(round.state, {
				job, pick, size, minionKeptFree: round.minionKeptFree, context,
			});
		round = step === undefined
			? skipJob(round, {job, size, nowMs: context.nowMs})
			: {...round, state: step.state};
		effects.push(...step?.effects ?? []);
	}

	let current = round.state;
	for (const team of round.skippedTeams) {
		current = updatePoolTeam(current, {pool, team});
	}

	return {state: current, effects};
}
