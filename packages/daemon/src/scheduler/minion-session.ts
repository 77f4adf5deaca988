/**
 * The leader's session with one incarnation of a minion. It renews the lease, sends orders for the runs, and processes
 * the minion's listings of its runs.
 */
import {waitAtMost} from '@samphiremill/common';
import {
	findTask, getInheritedLeaseMs, getRunLimit, isBlockedByUnassigned, getStep, isLateRunEnd, isSuspectedSlow, recordSlowness, recordRunDone, recordRunFailed, initialMinionHealth, initialMinionSpeed,
	type MinionHealth, type MinionSpeed, type MinionRecord, type RunAssignment, type RunEnd, type Task, type TaskId,
} from '@samphiremill/core';
import {
	holdRetryDelayMs, holdTimeoutMarginMs, holdWaitMs, orderTimeoutMs, provenServiceMs, refusedHoldRetryDelayMs, refusedHoldsBeforeBackoff, startArrivalMs, warmUpHoldWaitMs,
} from './constants.js';
import {splitEnds} from './command-parts.js';
import {createEndAcknowledgement} from './end-acknowledgement.js';
import {createForeignLease} from './foreign-lease.js';
import {createHoldLoop, type NextHold} from './hold-loop.js';
import {createIncarnationCheck, type IncarnationSign} from './incarnation-check.js';
import {createMinionLease} from './minion-lease.js';
import {createLossTracker, type LossTracker} from './minion-loss.js';
import {countStartsLeft} from './start-limit.js';
import {
	createTrackedRun, toRunView, type TrackedRun, type RunView,
} from './tracked-run.js';
import {createLateStartGuard} from './late-start-guard.js';
import {listForLog} from './logged-list.js';
import {inferMissingEnds, recordListedRun} from './run-listing.js';
import {createRunEnd, createRunOrders, toRunEnds} from './run-orders.js';
import type {SessionContext} from './session-context.js';
import {createStartAttribution, type SentStart} from './start-attribution.js';
import {createUnassignedRuns} from './unassigned-runs.js';
import {createUncertainRuns} from './uncertain-runs.js';
import type {
	HoldReport, MinionAnswer, MinionReport, MinionTarget, RunningEntry,
} from './types.js';

/** Why a minion accepts no work now: no recent answer, another incarnation at its address, draining, or a refusal of all work a moment ago. */
export type UnusableReason = 'silent' | 'superseded' | 'draining' | 'refusing';

/** The leader's session with one incarnation of a minion. */
export type MinionSession = {
	/** The minion's current record in the ledger, with its current capacity. */
	readonly record: MinionRecord;
	/** Sends the start of an assigned run. */
	readonly start: (assignment: RunAssignment) => void;
	/** Stops a run if this session tracks it. */
	readonly stop: (task: TaskId, reason: string) => void;
	readonly setPace: (task: TaskId, percent: number) => void;
	/** Records a report that the minion sent; `ageMs` tells how long ago it arrived, if at another host. */
	readonly recordReport: (report: Pick<MinionReport, 'sequence'> & {readonly ageMs?: number}) => void;
	/** Whether the minion sent the report before another one that has arrived. */
	readonly isOutdated: (report: MinionReport) => boolean;
	readonly tick: () => void;
	/** Whether the minion answered recently. */
	readonly isAnswering: () => boolean;
	/** Whether the minion answers and accepts new work. */
	readonly isUsable: () => boolean;
	/** Returns why the minion is not usable; `undefined` if it is. */
	readonly getUnusableReason: () => UnusableReason | undefined;
	readonly isDraining: () => boolean;
	/** Returns how many runs of tasks that end the minion may have at once. */
	readonly getRunLimit: () => number;
	/** Returns how many more runs of tasks that end may be started on the minion before others are confirmed. */
	readonly getStartsLeft: () => number;
	/** Whether runs on this minion are suspected to be slow. */
	readonly isSuspect: () => boolean;
	/** Records the duration of a run here relative to the median of the same work on other minions. */
	readonly recordSlowness: (slowness: number) => void;
	readonly getRun: (task: TaskId) => RunView | undefined;
	readonly listRuns: () => readonly RunView[];
	/** Whether this incarnation has certainly started the run. */
	readonly isStartCertain: (task: TaskId, run: number) => boolean;
	/** Whether no process listens at the minion's address, as far as the last hold call tells. */
	readonly isRefusingConnections: () => boolean;
	/** Lists the tasks that run on the minion without being assigned, and are being stopped. */
	readonly listUnassignedTasks: () => readonly TaskId[];
	/** Tells whether and how the minion was lost. */
	readonly loss: Pick<LossTracker, 'getLostAtMs' | 'wasLostSuddenly' | 'describe'>;
	/** Returns when the minion last reported or answered, on the monotonic clock. */
	readonly getLastContactAtMs: () => number;
	/**
	 * Handles that another incarnation of the minion answers at its address: stops the runs that may have started
	 * there, then removes this session's incarnation from the ledger.
	 */
	readonly handleNextIncarnation: () => Promise<void>;
	/** Whether start orders of lapsed runs may still be executed on the minion. */
	readonly hasUnblockedLapsedRuns: () => boolean;
	readonly close: () => void;
};

/**
 * Opens the session of an incarnation. The first hold call lists its runs without waiting; no run is started before that.
 *
 * @param record - The minion's description of itself.
 */
export function openMinionSession(record: MinionRecord, context: SessionContext): MinionSession {
	const {
		timers, minions, log, metrics, fencingToken, leaseMs,
	} = context;
	const target: MinionTarget = {
		life: record.life, minion: record.minion, bornAtMs: record.bornAtMs, address: record.address,
	};
	const trackedRuns = new Map<TaskId, TrackedRun>();
	const longestLeaseMs = getInheritedLeaseMs(context.longestHoldMs);
	const foreignLease = createForeignLease({record, context, longestLeaseMs});
	const lease = createMinionLease({
		timers,
		leaseMs,
		longestHoldMs: context.longestHoldMs,
		inheritedSinceMs: context.termBeganAtMs,
		getForeignLeaseUntilMs: foreignLease.getUntilMs,
	});
	const uncertainRuns = createUncertainRuns({
		record, context, getTrackedRun: task => trackedRuns.get(task), getListingSentAtMs: () => listingSentAtMs, longestLeaseMs,
	});
	const attribution = createStartAttribution(timers);
	const acknowledgement = createEndAcknowledgement();
	let isSynced = false;
	let isClosed = false;
	let health: MinionHealth = initialMinionHealth;
	let speed: MinionSpeed = initialMinionSpeed;
	let lastContactAtMs: number = timers.getNow();
	let unhealthyUntilMs = 0;
	let sequence = -1;
	/** Runs that lapsed with the lease. They count as lapsed also while the command that ends them is uncommitted. */
	const lapsedRuns = new Map<TaskId, number>();
	let isExpiringLease = false;
	/** Settles once the ends of a listing are committed, or the outcome of the commit is unknown. */
	let pendingEndsCommit: Promise<void> | undefined;
	/** The tasks of these ends. One of them may be done by a run that was given up. */
	let tasksOfPendingEnds: ReadonlySet<TaskId> = new Set();
	/** Whether the last hold call got no answer. */
	let isSilent = false;
	/** Whether the leader could not act when the next hold call was due. */
	let isCallOverdue = false;
	let lastAnswerAtMs: number = timers.getNow();
	/** When a start last got no answer, and when the latest call was sent that this incarnation has answered with its runs. */
	let unansweredStartAtMs = Number.NEGATIVE_INFINITY;
	let listingSentAtMs = Number.NEGATIVE_INFINITY;
	/** How many of the last hold calls were refused by the minion's host, one after the other. */
	let refusedHolds = 0;
	const loss = createLossTracker({
		record, timers, log, context, listTrackedRuns: () => [...trackedRuns.values()],
	});
	const isOpen = () => !isClosed;
	const isDraining = () => context.getLedger().incarnations.get(record.life)?.isDraining ?? false;

	// While the leader could not act, nothing showed whether the minion is still there. A start would grant it time.
	const isUnproven = () => isCallOverdue && timers.getNow() - lastAnswerAtMs >= holdWaitMs + holdTimeoutMarginMs;

	// A start got no answer, and no listing since then shows what has become of it. Any further start may be lost with the minion, and carried out by its next incarnation.
	const isInDoubt = () => unansweredStartAtMs >= listingSentAtMs;

	const isAnswering = () => isSynced && !isSilent && timers.getNow() - lastContactAtMs < holdWaitMs + holdTimeoutMarginMs;

	const getUnusableReason = (): UnusableReason | undefined => {
		if (isReplaced() || isClosed) {
			return 'superseded';
		}

		if (!isAnswering() || isInDoubt()) {
			return 'silent';
		}

		if (isDraining()) {
			return 'draining';
		}

		return timers.getNow() < unhealthyUntilMs ? 'refusing' : undefined;
	};

	const listLedgerRuns = () => [...context.getLedger().incarnations.get(record.life)?.runs ?? []];

	// A lapsed run may be assigned to another minion as soon as the lapse is committed.
	const isAssigned = (task: TaskId, run: number) =>
		context.getLedger().incarnations.get(record.life)?.runs.get(task) === run && lapsedRuns.get(task) !== run;

	const hasUncommittedLapse = () => [...lapsedRuns].some(([task, run]) => context.getLedger().incarnations.get(record.life)?.runs.get(task) === run);

	const isLateReport = (end: RunEnd) => {
		const task = findTask(context.getLedger(), end.task);
		return task !== undefined && isLateRunEnd(context.getLedger(), task, end);
	};

	const isAwaitedEnd = (end: RunEnd) => isAssigned(end.task, end.run) || isLateReport(end);

	// A minion that does not answer or is superseded may have started a new incarnation, on which no session would
	// track the run. A minion that has not listed its runs since its lease expired may still start lapsed runs.
	const canSendStarts = () => isSynced && !isSilent && !isInDoubt() && !isUnproven() && !isReplaced();

	const isCurrent = (trackedRun: TrackedRun) => !isClosed
		&& trackedRuns.get(trackedRun.assignment.task) === trackedRun
		&& isAssigned(trackedRun.assignment.task, trackedRun.assignment.run);

	const dropEndedRuns = () => {
		for (const [task, {assignment}] of trackedRuns) {
			if (!isAssigned(task, assignment.run)) {
				trackedRuns.delete(task);
			}
		}
	};

	const recordContact = () => {
		lastContactAtMs = timers.getNow();
		lastAnswerAtMs = lastContactAtMs;
		loss.recordContact();
	};

	const recordAnswer = (answer: MinionAnswer<unknown>, sentAtMs: number) => {
		if (answer.type === 'answered') {
			recordContact();
			lease.recordClock(answer.clockMs, sentAtMs);
		}
	};

	const recordDuration = (task: TaskId) => {
		const startedAtMs = trackedRuns.get(task)?.startedAtMs;
		if (startedAtMs !== undefined) {
			context.recordCompletion(task, {life: record.life, elapsedMs: timers.getNow() - startedAtMs});
		}
	};

	// A long-running task may fail at any time by its own fault.
	const hasProvenService = (trackedRun: TrackedRun | undefined) => trackedRun?.servingSinceMs !== undefined && timers.getNow() - trackedRun.servingSinceMs >= provenServiceMs;

	const recordFailure = (task: Task) => {
		const {id, job, failures} = task;
		const trackedRun = trackedRuns.get(id);
		const isOwnFault = hasProvenService(trackedRun);
		context.recordFailure(id, record.life);
		log.info(`task ${id} failed on minion ${record.minion}`, {
			id, minion: record.minion, failures: failures + 1, isOwnFault,
		});
		if (isOwnFault) {
			return;
		}

		const before = health.quarantineCount;
		health = recordRunFailed(health, {
			job: job.id, isLasting: getStep(task).isLasting, startedAtMs: trackedRun?.startedAtMs ?? timers.getNow(), nowMs: timers.getNow(),
		});
		if (health.quarantineCount > before) {
			log.warn(`minion ${record.minion} fails repeatedly and gets no work for a while`, {
				minion: record.minion, life: record.life, untilMs: Math.round(health.quarantinedUntilMs - timers.getNow()),
			});
		}
	};

	const updateHealth = (ends: readonly RunEnd[]) => {
		for (const {ending, task: id} of ends) {
			const task = findTask(context.getLedger(), id);
			if (ending === 'done') {
				health = recordRunDone(health);
				recordDuration(id);
			} else if (ending === 'failed' && task !== undefined) {
				recordFailure(task);
			}
		}
	};

	const commitEnds = async (ends: readonly RunEnd[]): Promise<boolean> => {
		const starts = uncertainRuns.listUnansweredOf(ends);
		if (starts.length > 0 && !await context.startsUnderWay.record(starts)) {
			return false;
		}

		updateHealth(ends);
		for (const {task, run, ending} of ends.filter(end => isLateReport(end))) {
			log.info(`task ${task}: run ${run} had lapsed and ended as ${ending}`, {
				id: task, run, minion: record.minion, ending,
			});
		}

		for (const {ending} of ends) {
			metrics.count('runs_ended_total', ending);
		}

		const hasLostRuns = loss.getLostAtMs() !== undefined && ends.some(({ending}) => ending === 'lapsed');

		const jobs = new Set(ends.flatMap(({task}) => findTask(context.getLedger(), task)?.job ?? []));
		const activeJobs = [...jobs].filter(({status}) => status === 'active');
		const lapsed = hasLostRuns ? ends.find(({ending}) => ending === 'lapsed') : undefined;
		const results = await Promise.all(splitEnds(ends).map(async part => context.commit({
			type: 'runs/ended', term: fencingToken, ends: part, atMs: context.getWallClock(), ...(lapsed !== undefined && part.includes(lapsed) && {loss: loss.describe()}),
		})));
		context.onEndsRecorded(activeJobs);
		dropEndedRuns();
		context.onRunsEnded();
		return results.every(Boolean);
	};

	const endRuns = async (ends: readonly RunEnd[]): Promise<boolean> => {
		const live = ends.filter(end => isAwaitedEnd(end));
		return live.length === 0 || commitEnds(live);
	};

	const removeIncarnation = async (reason: string) => {
		log.info(`removing minion ${record.minion}: ${reason}`, {
			minion: record.minion, life: record.life, reason, runCount: listLedgerRuns().length, runs: listForLog(listLedgerRuns()).map(([task, run]) => `${task}#${run}`),
		});
		await context.commit({
			type: 'minion/left', term: fencingToken, life: record.life, loss: loss.describe(),
		});
		context.onMinionsChanged();
	};

	const readIdentity = (answer: MinionAnswer<HoldReport | 'fenced'>): IncarnationSign | 'own' | undefined => {
		if (answer.type === 'otherLife') {
			return {type: 'otherMinion'};
		}

		if (answer.type !== 'answered' || answer.value === 'fenced' || answer.value.bornAtMs === undefined) {
			return undefined;
		}

		const {bornAtMs} = answer.value;
		return bornAtMs === record.bornAtMs ? 'own' : {type: 'otherStart', bornAtMs};
	};

	const incarnationCheck = createIncarnationCheck({
		timers,
		isOpen,
		isLeaseOver: () => lease.isExpired(isSynced),
		longestLeaseMs,
		async ask() {
			return context.canAct()
				? readIdentity(await minions.hold({
					target, fencingToken, lastSeen: 0, deadlineMs: undefined, waitMs: 0, timeoutMs: holdTimeoutMarginMs,
				}))
				: undefined;
		},
	});

	const isReplaced = () => lateStartGuard.isSuperseded() || incarnationCheck.isPending();

	const followSign = async (sign: IncarnationSign) => {
		const signedAtMs = timers.getNow();
		const confirmed = await incarnationCheck.confirm(sign);
		if (confirmed === undefined) {
			log.warn(`minion ${record.minion} answered as another one, and then as itself`, {minion: record.minion, life: record.life, sign});
		} else if (confirmed.type === 'otherStart') {
			await lateStartGuard.handleNextIncarnation(signedAtMs);
		} else {
			await removeIncarnation('another incarnation answers at its address');
		}
	};

	const {sendStop, startRun, stopRun} = createRunOrders({
		record,
		target,
		context,
		lease,
		isCurrent,
		canSendStarts,
		isDraining,
		async recordUnderWay(trackedRun) {
			const starts = uncertainRuns.listUnanswered(trackedRun);
			return starts.length === 0 || context.startsUnderWay.record(starts);
		},
		recordUnansweredStart(assignment) {
			unansweredStartAtMs = timers.getNow();
			lateStartGuard.recordUnansweredStart(assignment);
			// The log has the first copy of the start; what is held for that one is held for this one, too.
			if (uncertainRuns.hasOtherStart(assignment)) {
				context.startsUnderWay.renew({...assignment, minion: record.minion, sentAtMs: unansweredStartAtMs});
			}
		},
		recordAnswer,
		attribution,
		isBlocked: task => tasksOfPendingEnds.has(task.id) || unassignedRuns.listTasks().includes(task.id) || isBlockedByUnassigned(context.getLedger(), {task, life: record.life, unassigned: unassignedRuns.listTasks()}),
		endRuns,
		handleOtherMinion: async () => followSign({type: 'otherMinion'}),
		pauseAssignments() {
			unhealthyUntilMs = timers.getNow() + holdWaitMs;
		},
	});

	const unassignedRuns = createUnassignedRuns({record, context, sendStop});

	const findTrackedRun = ({task, run}: RunningEntry): TrackedRun | undefined => {
		const trackedRun = trackedRuns.get(task);
		return trackedRun?.assignment.run === run && isAssigned(task, run) ? trackedRun : undefined;
	};

	const startUnsentRuns = () => {
		for (const trackedRun of trackedRuns.values()) {
			if (trackedRun.phase === 'unsent') {
				void (trackedRun.isStopRequested ? stopRun(trackedRun) : startRun(trackedRun));
			}
		}
	};

	const lateStartGuard = createLateStartGuard({
		record,
		target,
		context,
		listTrackedRuns: () => [...trackedRuns.values()],
		isOpen,
		sendStop,
		endRuns,
		removeIncarnation,
	});

	const logInferredEnds = (ends: readonly RunEnd[], sentAtMs: number) => {
		if (ends.length > 0) {
			log.info(`${ends.length} runs count as ended: minion ${record.minion} does not list them`, {
				minion: record.minion, life: record.life, listingAgeMs: Math.round(timers.getNow() - sentAtMs), runs: listForLog(ends).map(({task, run, ending}) => `${task}#${run} ${ending}`),
			});
		}
	};

	const commitListedEnds = async (ends: readonly RunEnd[], highest: number) => {
		// An end is acknowledged to the minion only once it is committed.
		if (await commitEnds(ends)) {
			acknowledgement.confirm(highest);
		}
	};

	let hasHeldEnds = false;
	/** How many ends the latest listing showed, while any of them is held. */
	let unacknowledgedEnds = 0;

	// Most listings show no end that is not known yet.
	const handleListedEnds = (report: HoldReport, sentAtMs: number) => {
		const held = uncertainRuns.listHeldEnds(report.finished);
		hasHeldEnds = held.size > 0;
		unacknowledgedEnds = hasHeldEnds ? report.finished.length : 0;
		const highest = acknowledgement.review(report.finished, entry => isAwaitedEnd(createRunEnd({...entry, life: record.life}, entry.ending)), entry => held.has(entry));
		const inferred = inferMissingEnds(trackedRuns.values(), report, sentAtMs);
		logInferredEnds(inferred, sentAtMs);
		const ends = [...toRunEnds(report.finished, record.life), ...inferred].filter(end => isAwaitedEnd(end));
		if (ends.length === 0) {
			acknowledgement.confirm(highest);
		} else {
			tasksOfPendingEnds = new Set(ends.map(({task}) => task));
			pendingEndsCommit = commitListedEnds(ends, highest).finally(() => {
				pendingEndsCommit = undefined;
				tasksOfPendingEnds = new Set();
			});
		}
	};

	// Before the lease is granted again, lapses must be committed and late starts of their runs blocked on the minion.
	const resolveLapses = async () => !hasUncommittedLapse() && await lateStartGuard.blockLapsedRuns() && !hasUncommittedLapse();

	// A listed run has started, whether or not its start was answered.
	const confirmStarts = ({running, finished}: HoldReport) => {
		for (const {task} of [...running, ...finished]) {
			if (trackedRuns.get(task)?.startedAtMs === undefined) {
				context.onStartConfirmed(task);
			}
		}
	};

	let hasMalformedRows = false;

	// Logged once for as long as the minion lists such rows.
	const recordMalformedRows = ({malformedRows = 0}: HoldReport) => {
		if (malformedRows > 0) {
			metrics.count('malformed_rows_total');
			if (!hasMalformedRows) {
				log.warn(`minion ${record.minion} lists ${malformedRows} rows that cannot be read; they are left out`, {minion: record.minion, life: record.life, malformedRows});
			}
		}

		hasMalformedRows = malformedRows > 0;
	};

	const handleHoldReport = async (report: HoldReport, sentAtMs: number) => {
		recordMalformedRows(report);
		const wasSynced = isSynced;
		if (!wasSynced && !(await resolveLapses())) {
			return;
		}

		isSynced = true;
		listingSentAtMs = sentAtMs;
		lease.recordOwnAnswer(sentAtMs);
		foreignLease.recordAnswer();
		lapsedRuns.clear();
		confirmStarts(report);
		const unassigned: RunningEntry[] = [];
		for (const entry of report.running) {
			const trackedRun = findTrackedRun(entry);
			if (trackedRun === undefined) {
				unassigned.push(entry);
			} else {
				recordListedRun(trackedRun, entry, timers.getNow());
				context.onRunStarted(entry.task);
			}
		}

		unassignedRuns.stop(unassigned);

		// Each hold call renews the lease, so a slow log must not delay the next one. Ends that are listed during a
		// pending commit are listed again later.
		if (pendingEndsCommit === undefined) {
			handleListedEnds(report, sentAtMs);
		}

		if (pendingEndsCommit !== undefined) {
			await waitAtMost(timers, pendingEndsCommit, holdWaitMs);
		}

		startUnsentRuns();
		if (!wasSynced) {
			context.onMinionsChanged();
		}
	};

	// Whether a task is long-running never changes, so each run's task is looked up once.
	const isLasting = (trackedRun: TrackedRun): boolean => {
		const task = trackedRun.isLasting === undefined ? findTask(context.getLedger(), trackedRun.assignment.task) : undefined;
		trackedRun.isLasting ??= task && getStep(task).isLasting;
		return trackedRun.isLasting ?? false;
	};

	// While a long-running task is not serving yet, no other task of its step may be taken down. A shorter wait shows
	// sooner that it serves.
	const getHoldWaitMs = () => {
		for (const trackedRun of trackedRuns.values()) {
			if (trackedRun.phase === 'running' && trackedRun.servingSinceMs === undefined && isLasting(trackedRun)) {
				return warmUpHoldWaitMs;
			}
		}

		return holdWaitMs;
	};

	const updateSilence = ({type}: MinionAnswer<unknown>) => {
		const isSilentNow = type !== 'answered';
		if (isSilentNow !== isSilent) {
			log.info(`minion ${record.minion} ${isSilentNow ? 'does not answer' : 'answers again'}`, {
				minion: record.minion, life: record.life, outcome: type, silentMs: Math.round(timers.getNow() - lastContactAtMs),
			});
		}

		isSilent = isSilentNow;
	};

	// A hold call names no incarnation: the next one counts its ends from 1, and would drop those of runs that this
	// session started there. So ends are acknowledged only while this incarnation has certainly executed all starts.
	const chooseAcknowledgement = (doubtfulStarts: readonly SentStart[]) => isSilent || isReplaced() || doubtfulStarts.length > 0 ? 0 : acknowledgement.getLastSeen();

	const followHoldSign = async (sign: IncarnationSign): Promise<NextHold> => {
		if (sign.type === 'otherStart') {
			recordContact();
		}

		await followSign(sign);
		return sign.type === 'otherStart' ? 'again' : 'pause';
	};

	const sendHold = async (): Promise<NextHold> => {
		const doubtfulStarts = await attribution.listDoubtful();
		if (!isOpen() || !context.canAct() || incarnationCheck.isPending()) {
			return 'pause';
		}

		const sentAtMs = timers.getNow();
		// After a failed call the next one does not wait, so that the lease is renewed as soon as the minion answers.
		// Nor is a minion granted time that may have been lost while the leader could not act.
		const isProven = isSynced && !isSilent && !isCallOverdue;
		const waitMs = isProven && !isInDoubt() ? getHoldWaitMs() : 0;
		const timeoutMs = waitMs + holdTimeoutMarginMs;
		const answer = await minions.hold({
			target,
			fencingToken,
			lastSeen: chooseAcknowledgement(doubtfulStarts),
			deadlineMs: isProven ? lease.grant() : undefined,
			waitMs,
			timeoutMs,
		});
		if (isClosed) {
			return 'pause';
		}

		const identity = readIdentity(answer);
		if (typeof identity === 'object') {
			return followHoldSign(identity);
		}

		recordAnswer(answer, sentAtMs);
		updateSilence(answer);
		isCallOverdue = false;
		refusedHolds = answer.type === 'notSent' && answer.isRefused === true ? refusedHolds + 1 : 0;

		if (answer.type === 'noAnswer' || answer.type === 'notSent') {
			loss.recordUnansweredHold(answer, {sentAtMs, timeoutMs});
			return answer.type === 'noAnswer' ? 'again' : 'pause';
		}

		if (answer.type !== 'answered') {
			return 'pause';
		}

		if (answer.value === 'fenced') {
			// It is granted nothing more, so that its tasks lapse and start elsewhere if it stays so.
			isSilent = true;
			context.onFenced(record.life);
			return 'pause';
		}

		loss.recordAnsweredHold();
		attribution.recordListing(doubtfulStarts, answer.clockMs);
		await handleHoldReport(answer.value, sentAtMs);
		// Ends that are not acknowledged are listed again at once, so the next call does not wait for one.
		return doubtfulStarts.length > 0 || hasMalformedRows || hasHeldEnds ? 'pause' : 'again';
	};

	// Where no process listens, as on a worker under maintenance, the next incarnation reports by itself. Without runs there is
	// no lease to renew.
	const getHoldPauseMs = () => refusedHolds > refusedHoldsBeforeBackoff && listLedgerRuns().length === 0 ? refusedHoldRetryDelayMs : holdRetryDelayMs;

	const holdLoop = createHoldLoop({
		record,
		timers,
		log,
		isOpen,
		async sendHold() {
			const canAct = context.canAct();
			isCallOverdue ||= !canAct;
			return canAct ? sendHold() : 'pause';
		},
		getPauseMs: getHoldPauseMs,
	});

	const listExpiredRuns = () => listLedgerRuns().filter(([task, run]) => !uncertainRuns.mayOutliveLease({task, run}));

	const expireLease = async () => {
		isExpiringLease = true;
		isSynced = false;
		const leaseAtEnd = lease.describe();
		lease.reset();
		const runs = listExpiredRuns();
		for (const [task, number] of runs) {
			lapsedRuns.set(task, number);
		}

		metrics.count('leases_lapsed_total');
		log.warn(`the lease on minion ${record.minion} ran out with ${runs.length} runs`, {
			minion: record.minion, life: record.life, silentMs: Math.round(timers.getNow() - lastContactAtMs), lease: leaseAtEnd, tasks: listForLog(runs).map(([task]) => task),
		});
		const proposedAtMs = timers.getNow();
		const isNoted = await commitEnds(runs.map(([task, number]) => createRunEnd({task, run: number, life: record.life}, 'lapsed')));
		log.info(`lapse of ${runs.length} runs on minion ${record.minion}: ${isNoted ? 'committed' : 'outcome unknown'}`, {
			minion: record.minion, life: record.life, isNoted, tookMs: Math.round(timers.getNow() - proposedAtMs), silentMs: Math.round(timers.getNow() - lastContactAtMs),
		});
		isExpiringLease = false;
	};

	// Tracks runs that an earlier leader assigned, or that this leader assigned without learning of the commit.
	const adoptUnknownRuns = () => {
		for (const [task, number] of context.getLedger().incarnations.get(record.life)?.runs ?? []) {
			if (trackedRuns.get(task)?.assignment.run !== number && isAssigned(task, number)) {
				trackedRuns.set(task, createTrackedRun({task, run: number, life: record.life}, {isInherited: true}));
			}
		}
	};

	adoptUnknownRuns();

	void holdLoop.run();

	return {
		get record() {
			return context.getLedger().incarnations.get(record.life)?.record ?? record;
		},
		start(assignment) {
			const trackedRun = createTrackedRun(assignment, {isInherited: false});
			trackedRuns.set(assignment.task, trackedRun);
			if (isSynced) {
				void startRun(trackedRun);
			}
		},
		stop(task, reason) {
			const trackedRun = trackedRuns.get(task);
			if (trackedRun === undefined || trackedRun.isStopRequested) {
				return;
			}

			trackedRun.isStopRequested = true;
			log.info(`run ${trackedRun.assignment.run} of task ${task} is stopped: ${reason}`, {
				id: task, run: trackedRun.assignment.run, minion: record.minion, reason,
			});
			if (trackedRun.phase === 'running' || (trackedRun.phase === 'unsent' && isSynced)) {
				void stopRun(trackedRun);
			}
		},
		setPace(task, percent) {
			const trackedRun = trackedRuns.get(task);
			if (trackedRun === undefined || !context.canAct()) {
				return;
			}

			const isSettled = trackedRun.isPaceKnown && timers.getNow() >= trackedRun.paceUnsettledUntilMs;
			if (isSettled && trackedRun.pacePercent === percent) {
				return;
			}

			const before = trackedRun.pacePercent;
			trackedRun.pacePercent = percent;
			trackedRun.isPaceKnown = true;
			const sentAtMs = timers.getNow();
			void minions.pace({
				target, fencingToken, task, run: trackedRun.assignment.run, percent, timeoutMs: orderTimeoutMs,
			}).then(answer => {
				recordAnswer(answer, sentAtMs);
				if (answer.type !== 'answered') {
					trackedRun.pacePercent = before;
					trackedRun.isPaceKnown = false;
					trackedRun.paceUnsettledUntilMs = sentAtMs + startArrivalMs;
				}
			});
		},
		isOutdated: report => report.sequence < Math.max(sequence, context.getLedger().incarnations.get(record.life)?.capacitySequence ?? -1),
		recordReport({sequence: reported, ageMs = 0}) {
			if (reported <= sequence) {
				return;
			}

			sequence = reported;
			lastContactAtMs = Math.max(lastContactAtMs, timers.getNow() - ageMs);
			if (refusedHolds > 0) {
				holdLoop.endPause();
			}
		},
		tick() {
			adoptUnknownRuns();
			foreignLease.settleIfOver();
			for (const trackedRun of trackedRuns.values()) {
				// The stop was requested before a listing had shown the run.
				if (trackedRun.isStopRequested && trackedRun.phase === 'running') {
					void stopRun(trackedRun);
				}

				const isLost = trackedRun.phase === 'stopping' && trackedRun.stopAckedAtMs !== undefined && timers.getNow() - trackedRun.stopAckedAtMs > leaseMs;
				if (isLost) {
					trackedRun.phase = 'running';
					trackedRun.stopAckedAtMs = undefined;
					void stopRun(trackedRun);
				}
			}

			if (lateStartGuard.isSuperseded()) {
				void lateStartGuard.handleNextIncarnation();
			} else if (!isExpiringLease && !incarnationCheck.isPending() && lease.isExpired(isSynced) && listExpiredRuns().length > 0 && context.canAct()) {
				void expireLease();
			}
		},
		isUsable: () => getUnusableReason() === undefined,
		getUnusableReason,
		isAnswering,
		isDraining,
		getRunLimit: () => getRunLimit(health, timers.getNow()),
		getStartsLeft: () => countStartsLeft(trackedRuns, unacknowledgedEnds),
		isSuspect: () => isSuspectedSlow(speed, timers.getNow()),
		recordSlowness(slowness) {
			speed = recordSlowness(speed, {slowness, nowMs: timers.getNow()});
		},
		getRun(task) {
			const trackedRun = trackedRuns.get(task);
			return trackedRun && toRunView(trackedRun);
		},
		isStartCertain(task, run) {
			const trackedRun = trackedRuns.get(task);
			return trackedRun?.assignment.run === run && (trackedRun.isStartCertain || trackedRun.listedAtMs !== undefined) && !uncertainRuns.hasOtherStart({task, run});
		},
		isRefusingConnections: () => refusedHolds > 0,
		listUnassignedTasks: unassignedRuns.listTasks,
		listRuns: () => [...trackedRuns.values()].map(trackedRun => toRunView(trackedRun)),
		loss,
		getLastContactAtMs: () => lastContactAtMs,
		handleNextIncarnation: async () => lateStartGuard.handleNextIncarnation(),
		hasUnblockedLapsedRuns: lateStartGuard.hasUnblockedLapsedRuns,
		close() {
			isClosed = true;
		},
	};
}
