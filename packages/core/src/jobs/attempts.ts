/**
 * Handles the events of a placed attempt: recorded, dispatched, answered or failed.
 */
import {recordWorkerFailure, recordWorkerSuccess} from '../placement/index.js';
import {changeState} from './change-state.js';
import {requeueJob} from './admit-jobs.js';
import {
	defaultRetryAfterMs, maximumFailedWorkers, maximumEjectedFraction, neverMs,
} from './constants.js';
import {getLatestDispatchMs, getLatestStartMs, learnRunTime} from './estimates.js';
import {
	finishJob, putJob, refuseJob, runSteps,
} from './job-table.js';
import {getWorkerHealth, listWorkerPools, putWorkerHealth} from './minions.js';
import {dispatchJob, placeWaitingJobs} from './place-jobs.js';
import {
	releaseConnection, getReservationKey, removeReservation,
} from './reservations.js';
import {createRetryBudget, getRetryDelayMs, spendRetryToken} from './retry-budget.js';
import type {
	Context, JobsState, JobsStep, JobState, Reservation,
} from './state.js';
import type {
	AttemptFailureKind, JobAttempt, JobsEffect, JobsEvent, RefusalReason,
} from './types.js';

type PlacedJob = Extract<JobState, {readonly worker: unknown}>;
type EventOf<Type extends JobsEvent['type']> = Extract<JobsEvent, {readonly type: Type}>;

/** Lowest HTTP status of a server error. */
const firstServerErrorStatus = 500;

function findPlacedJob(state: JobsState, {job, attempt}: JobAttempt): PlacedJob | undefined {
	const found = state.jobs.get(job);
	const isPlaced = found !== undefined && 'worker' in found;
	return isPlaced && found.attempt === attempt ? found : undefined;
}

/**
 * Returns the job if this attempt is current and was dispatched. A reserved job has sent nothing, so
 * an event about its sending cannot be valid.
 */
function findDispatchedJob(state: JobsState, jobAttempt: JobAttempt): PlacedJob | undefined {
	const job = findPlacedJob(state, jobAttempt);
	return job?.type === 'reserved' ? undefined : job;
}

function findDispatchedReservation(state: JobsState, jobAttempt: JobAttempt): Reservation | undefined {
	const reservation = state.reservations.get(getReservationKey(jobAttempt));
	return reservation?.isDispatched === true ? reservation : undefined;
}

function learnAttemptRunTime(state: JobsState, reservation: Reservation | undefined, {nowMs}: Context): JobsState {
	return reservation === undefined
		? state
		: learnRunTime(state, reservation, nowMs - reservation.reservedAtMs);
}

function isMinionAcceptingWork(state: JobsState, {minion, incarnation}: PlacedJob): boolean {
	const info = state.minions.get(minion)?.info;
	return info?.incarnation === incarnation && info.isAcceptingWork;
}

/**
 * Releases what an attempt holds and places waiting jobs on it. Does nothing if the attempt holds
 * nothing any more.
 */
export function releaseAttempt(state: JobsState, jobAttempt: JobAttempt, context: Context): JobsStep {
	const reservation = state.reservations.get(getReservationKey(jobAttempt));
	if (reservation === undefined) {
		return {state, effects: []};
	}

	return runSteps(state, [
		before => removeReservation(before, jobAttempt, context.nowMs),
		before => placeAfterRelease(before, reservation, context),
	]);
}

/**
 * Places jobs after a release. The slot serves the current pool of its minion; the part of the limit
 * serves all pools of the team.
 */
function placeAfterRelease(state: JobsState, {minion, team}: Reservation, context: Context): JobsStep {
	const pool = state.minions.get(minion)?.info.pool;
	const teamState = state.teams.get(team);
	const limitPools = teamState?.isLimited === true ? teamState.pools : [];
	const pools = new Set([...pool === undefined ? [] : [pool], ...limitPools]);
	return runSteps(state, [...pools].map(other => (before: JobsState) => placeWaitingJobs(before, other, context)));
}

/**
 * Releases what an attempt holds after its minion reported the slot free. While the shell may still be
 * sending the job, the report cannot refer to this attempt and is ignored.
 */
export function applySlotFreed(state: JobsState, jobAttempt: JobAttempt, context: Context): JobsStep {
	const type = findPlacedJob(state, jobAttempt)?.type;
	return type === 'reserved' || type === 'dispatched'
		? {state, effects: []}
		: releaseAttempt(state, jobAttempt, context);
}

function isTooLateToDispatch(state: JobsState, {spec, attempt}: PlacedJob, {nowMs}: Context): boolean {
	const reservation = state.reservations.get(getReservationKey({job: spec.job, attempt}));
	return nowMs > getLatestDispatchMs(state, spec, reservation?.reservedAtMs ?? nowMs);
}

/** Continues with a reserved job that is not dispatched. Nothing of it was sent, so it has not run. */
function withholdAttempt(state: JobsState, options: {
	readonly job: PlacedJob;
	readonly isRecorded: boolean;
	readonly context: Context;
}): JobsStep {
	const {job, isRecorded, context} = options;
	if (!isRecorded) {
		return refuseJob(state, {job, reason: 'ownerUnreachable', retryAfterMs: defaultRetryAfterMs});
	}

	return isTooLateToDispatch(state, job, context)
		? refuseJob(state, {job, reason: 'deadlineTooNear', retryAfterMs: defaultRetryAfterMs})
		: requeueJob(state, job, context);
}

/**
 * Dispatches the attempt once its start record is durable. If the minion no longer accepts work, the
 * job is queued again, since no byte was sent. If too little time is left for an answer, it is refused as not run, so that
 * its caller can send it again. An attempt that was cancelled is ignored.
 */
export function applyStartRecorded(
	state: JobsState,
	event: EventOf<'jobs/startRecorded'>,
	context: Context,
): JobsStep {
	const job = findPlacedJob(state, event);
	if (job?.type !== 'reserved') {
		return {state, effects: []};
	}

	if (event.ok && isMinionAcceptingWork(state, job) && !isTooLateToDispatch(state, job, context)) {
		return dispatchJob(state, job);
	}

	return runSteps(state, [
		before => withholdAttempt(before, {job, isRecorded: event.ok, context}),
		before => releaseAttempt(before, event, context),
	]);
}

/** Records that the first byte of an attempt was sent. Ignored in later states and for cancelled attempts. */
export function applyFirstByteSent(state: JobsState, event: EventOf<'jobs/firstByteSent'>): JobsStep {
	const job = findPlacedJob(state, event);
	if (job?.type !== 'dispatched') {
		return {state, effects: []};
	}

	return {state: putJob(state, {...job, type: 'byteSent', mayHaveRun: true}), effects: []};
}

/**
 * Records that the answer has started to arrive. From now on the deadline does not end the attempt.
 * Ignored for cancelled attempts.
 */
export function applyAnswerStarted(state: JobsState, event: EventOf<'jobs/answerStarted'>): JobsStep {
	const job = findDispatchedJob(state, event);
	if (job === undefined || job.type === 'answering') {
		return {state, effects: []};
	}

	const answering = {
		...job, type: 'answering' as const, status: event.status, mayHaveRun: true, dueAtMs: neverMs,
	};
	return {state: putJob(state, answering), effects: []};
}

function listHealthDecisions(before: JobsState, after: JobsState, {worker}: Pick<Reservation, 'worker'>): readonly JobsEffect[] {
	const from = getWorkerHealth(before, worker);
	const to = getWorkerHealth(after, worker);
	if (from.type === to.type) {
		return [];
	}

	const decision = to.type === 'ejected'
		? {
			kind: 'workerEjected' as const, worker, failuresCounted: to.failuresInRow, untilMs: to.untilMs,
		}
		: {kind: 'workerRestored' as const, worker, failuresCounted: from.failuresInRow};
	return [{type: 'jobs/decision', decision}];
}

function canEjectWorker(state: JobsState, {pool}: Reservation): boolean {
	const workers = new Set([...state.minions.values()]
		.filter(({info}) => info.pool === pool)
		.map(({info}) => info.worker));
	const ejected = [...workers].filter(worker => getWorkerHealth(state, worker).type !== 'healthy');
	return ejected.length + 1 <= workers.size * maximumEjectedFraction;
}

/**
 * Counts a success or a failure of a worker, and ejects or restores it if needed. Does nothing without
 * a reservation.
 */
export function recordWorkerResult(options: {
	readonly state: JobsState;
	readonly reservation: Reservation | undefined;
	readonly isFailure: boolean;
	readonly context: Context;
}): JobsStep {
	const {state, reservation, isFailure, context} = options;
	if (reservation === undefined) {
		return {state, effects: []};
	}

	const {worker} = reservation;
	const health = getWorkerHealth(state, worker);
	if (!isFailure && !state.workers.has(worker)) {
		return {state, effects: []};
	}

	const cfg = context.cfg.health;
	const isEjectionDue = health.failuresInRow + 1 >= cfg.ejectionFailures;
	const next = isFailure
		? recordWorkerFailure({
			health, nowMs: context.nowMs, canSpare: isEjectionDue && canEjectWorker(state, reservation), cfg,
		})
		: recordWorkerSuccess(health);
	const after = putWorkerHealth(state, worker, next);
	const decided = {state: after, effects: listHealthDecisions(state, after, reservation)};
	if (next.type === health.type || next.type === 'ejected') {
		return decided;
	}

	return runSteps(state, [
		() => decided,
		...listWorkerPools(after, worker)
			.map(pool => (before: JobsState) => placeWaitingJobs(before, pool, context)),
	]);
}

/**
 * Ends an attempt whose answer has arrived completely. The answer of an aborted job is dropped, and
 * only what the attempt holds is released. The minion may have reported the slot free before.
 */
export function applyAnswered(state: JobsState, event: EventOf<'jobs/answered'>, context: Context): JobsStep {
	const reservation = findDispatchedReservation(state, event);
	const job = findDispatchedJob(state, event);
	const isFailure = event.status >= firstServerErrorStatus;
	return runSteps(state, [
		before => ({state: isFailure ? before : learnAttemptRunTime(before, reservation, context), effects: []}),
		before => recordWorkerResult({
			state: before, reservation, isFailure, context,
		}),
		before => job === undefined
			? {state: before, effects: []}
			: finishJob(before, job.spec, {type: 'answered', minion: job.minion, status: event.status}),
		before => reservation === undefined
			? {state: before, effects: []}
			: releaseAttempt(before, event, context),
	]);
}

/** Returns whether the attempt has certainly ended. Only then is its slot released at once. */
function hasCertainlyEnded({bytesSent, kind}: EventOf<'jobs/attemptFailed'>): boolean {
	return !bytesSent || kind === 'busy' || kind === 'stopped';
}

function placeAfterConnectionRelease(state: JobsState, {minion}: Reservation, context: Context): JobsStep {
	const pool = state.minions.get(minion)?.info.pool;
	return pool === undefined ? {state, effects: []} : placeWaitingJobs(state, pool, context);
}

function endAttempt(state: JobsState, options: {
	readonly event: EventOf<'jobs/attemptFailed'>;
	readonly reservation: Reservation;
	readonly context: Context;
}): JobsStep {
	const {event, reservation, context} = options;
	return hasCertainlyEnded(event)
		? releaseAttempt(state, event, context)
		: placeAfterConnectionRelease(releaseConnection(state, event), reservation, context);
}

function findFinalRefusalReason(job: JobState, {cfg}: Context): RefusalReason | undefined {
	if (job.mayHaveRun && !job.spec.isIdempotent) {
		return 'attemptLost';
	}

	const hasFailedOnManyWorkers = new Set(job.failedWorkers).size >= maximumFailedWorkers;
	return hasFailedOnManyWorkers || job.attempt >= cfg.maximumAttempts ? 'failedEverywhere' : undefined;
}

function scheduleRetry(state: JobsState, options: {
	readonly job: PlacedJob;
	readonly failed: JobState;
	readonly kind: AttemptFailureKind;
	readonly context: Context;
}): JobsStep {
	const {job, failed, kind, context: {nowMs, cfg}} = options;
	const {spec, attempt} = job;
	const budget = spendRetryToken(state.retryBudgets.get(spec.queue) ?? createRetryBudget(cfg.maximumRetryTokens));
	const delayMs = getRetryDelayMs({failures: attempt, baseDelayMs: cfg.retryBaseDelayMs, random: cfg.random});
	if (budget === undefined || nowMs + delayMs > getLatestStartMs(state, spec)) {
		return refuseJob(state, {job: failed, reason: 'attemptLost', retryAfterMs: defaultRetryAfterMs});
	}

	const waiting = putJob(changeState(state, {retryBudgets: state.retryBudgets.set(spec.queue, budget)}), {
		type: 'backingOff',
		spec,
		attempt,
		mayHaveRun: failed.mayHaveRun,
		failedWorkers: failed.failedWorkers,
		dueAtMs: nowMs + delayMs,
	});
	const decision = {
		kind: 'retried' as const,
		job: spec.job,
		team: spec.team,
		queue: spec.queue,
		pool: spec.pool,
		minion: job.minion,
		attempt,
		reason: kind,
		delayMs,
	};
	return {state: waiting, effects: [{type: 'jobs/decision', decision}]};
}

function retryOrRefuse(state: JobsState, options: {
	readonly job: PlacedJob;
	readonly event: EventOf<'jobs/attemptFailed'>;
	readonly context: Context;
}): JobsStep {
	const {job, event, context} = options;
	// A part of the answer may already have been sent to the caller, so no other answer can follow.
	if (job.type === 'answering') {
		return refuseJob(state, {job, reason: 'attemptLost'});
	}

	const failed: JobState = {
		...job,
		type: 'backingOff',
		mayHaveRun: job.mayHaveRun || event.bytesSent,
		failedWorkers: event.kind === 'busy' ? job.failedWorkers : [...job.failedWorkers, job.worker],
	};
	const reason = findFinalRefusalReason(failed, context);
	return reason === undefined
		? scheduleRetry(state, {
			job, failed, kind: event.kind, context,
		})
		: refuseJob(state, {job: failed, reason});
}

/**
 * Ends an attempt that failed. An idempotent job, or one of which no byte was sent, is retried within
 * the queue's retry budget. Any other job gets its outcome at once.
 */
export function applyAttemptFailed(
	state: JobsState,
	event: EventOf<'jobs/attemptFailed'>,
	context: Context,
): JobsStep {
	const reservation = findDispatchedReservation(state, event);
	const job = findDispatchedJob(state, event);
	const isFailure = event.kind !== 'busy' && event.kind !== 'stopped' && reservation?.hasConnection === true;
	return runSteps(state, [
		before => recordWorkerResult({
			state: before, reservation: isFailure ? reservation : undefined, isFailure, context,
		}),
		before => job === undefined
			? {state: before, effects: []}
			: retryOrRefuse(before, {job, event, context}),
		before => reservation === undefined
			? {state: before, effects: []}
			: endAttempt(before, {event, reservation, context}),
	]);
}

/**
 * Aborts a job, for example on the caller's request or after a timeout. A waiting job is removed in
 * constant time. A dispatched attempt is cancelled and keeps its resources until the minion reports
 * them free.
 *
 * @param options - `job` is `undefined` if the job has ended.
 */
export function abortJob(
	state: JobsState,
	options: {readonly job: JobState | undefined; readonly reason: RefusalReason; readonly retryAfterMs?: number},
	context: Context,
): JobsStep {
	const {job, ...rest} = options;
	if (job === undefined) {
		return {state, effects: []};
	}

	const refused = refuseJob(state, {job, ...rest});
	if (!('worker' in job)) {
		return refused;
	}

	const jobAttempt = {job: job.spec.job, attempt: job.attempt};
	if (job.type === 'reserved') {
		const freed = releaseAttempt(refused.state, jobAttempt, context);
		return {state: freed.state, effects: [...refused.effects, ...freed.effects]};
	}

	const cancel = {type: 'jobs/cancelAttempt' as const, ...jobAttempt, minion: job.minion};
	return {state: refused.state, effects: [...refused.effects, cancel]};
}
