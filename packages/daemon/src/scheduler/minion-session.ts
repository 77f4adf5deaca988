/**
 * The leader's dealings with one life of a minion: its lease, its runs, and what it lists of them.
 */
import {waitFor} from '@samphiremill/common';
import {
	findTask, getRunLimit, getStep, isLateRunEnd, isSuspectedSlow, notePace, recordRunDone, recordRunFailed, initialMinionHealth, initialMinionSpeed,
	type MinionHealth, type MinionSpeed, type MinionRecord, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import {
	holdRetryDelayMs, holdTimeoutMarginMs, holdWaitMs, orderTimeoutMs, warmUpHoldWaitMs,
} from './constants.js';
import {createMinionLease} from './minion-lease.js';
import {
	createTrackedRun, toRunView, type TrackedRun, type RunView,
} from './run-control.js';
import {createLateStartGuard} from './run-closing.js';
import {inferMissingEnds, recordListedRun} from './run-listing.js';
import {createRunEnd, createRunOrders, toRunEnds} from './run-orders.js';
import type {SessionContext} from './session-context.js';
import {createUnassignedRuns} from './unassigned-runs.js';
import type {
	HoldReport, MinionAnswer, MinionReport, MinionTarget, RunningEntry,
} from './types.js';

/** The leader's view of one life of a minion. */
export type MinionSession = {
	readonly record: MinionRecord;
	/** Sends the start of an assigned run. */
	readonly start: (assignment: RunAssignment) => void;
	/** Has a run stopped, if it is here. */
	readonly stop: (task: TaskId, reason: string) => void;
	readonly setPace: (task: TaskId, percent: number) => void;
	readonly recordReport: (report: MinionReport) => void;
	readonly tick: () => void;
	/** Whether it answered a moment ago. */
	readonly isAnswering: () => boolean;
	/** Whether it answers, is ready, and may be given work. */
	readonly isUsable: () => boolean;
	readonly isDraining: () => boolean;
	readonly getMaximumRuns: () => number;
	/** Whether its runs have taken far longer than expected. */
	readonly isSuspect: () => boolean;
	/** Takes in how a run here compares with the same work elsewhere. */
	readonly recordSlowness: (slowness: number) => void;
	readonly getRun: (task: TaskId) => RunView | undefined;
	readonly listRuns: () => readonly RunView[];
	/** When it last reported or answered, on the monotonic clock. */
	readonly getLastContactAtMs: () => number;
	/** Another life of the minion answers at its address: closes what may have started there, and leaves. */
	readonly handleNextIncarnation: () => Promise<void>;
	/** Whether orders to start runs that were given up may still arrive. */
	readonly hasUnblockedLapsedRuns: () => boolean;
	readonly close: () => void;
};

/**
 * Opens the session of a life. It begins with a look at what runs there.
 *
 * @param record - What the minion says of itself.
 * @param context - What the session needs.
 * @returns The session.
 */
export function openMinionSession(record: MinionRecord, context: SessionContext): MinionSession {
	const {
		timers, minions, log, metrics, fencingToken, leaseMs,
	} = context;
	const target: MinionTarget = {
		life: record.life, minion: record.minion, bornAtMs: record.bornAtMs, address: record.address,
	};
	const trackedRuns = new Map<TaskId, TrackedRun>();
	const lease = createMinionLease({timers, leaseMs, inheritedSinceMs: context.termBeganAtMs});
	let lastSeen = 0;
	let isSynced = false;
	let isClosed = false;
	let health: MinionHealth = initialMinionHealth;
	let speed: MinionSpeed = initialMinionSpeed;
	let lastContactAtMs: number = timers.getNow();
	let unhealthyUntilMs = 0;
	let sequence = -1;
	/** Runs that lapsed with the lease. They stay so, also while the command that says it is not committed. */
	const lapsedRuns = new Map<TaskId, number>();
	let isExpiringLease = false;
	/** Settles once the ends of a listing are committed, or their outcome is unknown. */
	let pendingEndsCommit: Promise<void> | undefined;
	/** The last look got no answer. */
	let isSilent = false;
	const isOpen = () => !isClosed;
	const isDraining = () => context.getLedger().incarnations.get(record.life)?.isDraining ?? false;

	const isAnswering = () => isSynced && !isSilent && timers.getNow() - lastContactAtMs < holdWaitMs + holdTimeoutMarginMs;

	const listLedgerRuns = () => [...context.getLedger().incarnations.get(record.life)?.runs ?? []];

	// A run that lapsed may be assigned elsewhere as soon as the lapse is committed.
	const isAssigned = (task: TaskId, run: number) =>
		context.getLedger().incarnations.get(record.life)?.runs.get(task) === run && lapsedRuns.get(task) !== run;

	const hasUncommittedLapse = () => [...lapsedRuns].some(([task, run]) => context.getLedger().incarnations.get(record.life)?.runs.get(task) === run);

	const isLateReport = (end: RunEnd) => {
		const task = findTask(context.getLedger(), end.task);
		return task !== undefined && isLateRunEnd(task, end);
	};

	// A minion that is silent or gives way may have begun another life, in which nobody would know of the run. One
	// that was not looked at since its lease ran out may still start what was given up.
	const mayStart = () => isSynced && !isSilent && !lateStartGuard.isSuperseded();

	const isCurrent = (control: TrackedRun) => !isClosed
		&& trackedRuns.get(control.assignment.task) === control
		&& isAssigned(control.assignment.task, control.assignment.run);

	const dropEndedRuns = () => {
		for (const [task, {assignment}] of trackedRuns) {
			if (!isAssigned(task, assignment.run)) {
				trackedRuns.delete(task);
			}
		}
	};

	const noteHeard = (answer: MinionAnswer<unknown>) => {
		if (answer.type === 'answered') {
			lastContactAtMs = timers.getNow();
			lease.recordClock(answer.clockMs);
		}
	};

	const recordDuration = (task: TaskId) => {
		const startedAtMs = trackedRuns.get(task)?.startedAtMs;
		if (startedAtMs !== undefined) {
			context.recordCompletion(task, {life: record.life, elapsedMs: timers.getNow() - startedAtMs});
		}
	};

	const updateHealth = (ends: readonly RunEnd[]) => {
		for (const {ending, task} of ends) {
			const job = findTask(context.getLedger(), task)?.job.id;
			if (ending === 'done') {
				health = recordRunDone(health);
				recordDuration(task);
			} else if (ending === 'failed' && job !== undefined) {
				context.recordFailure(task, record.life);
				log.info(`task ${task} failed on minion ${record.minion}`, {id: task, minion: record.minion, failures: (findTask(context.getLedger(), task)?.failures ?? 0) + 1});
				const before = health.quarantineCount;
				health = recordRunFailed(health, {job, nowMs: timers.getNow()});
				if (health.quarantineCount > before) {
					log.warn(`minion ${record.minion} fails what it starts and gets no work for a while`, {
						minion: record.minion, life: record.life, untilMs: Math.round(health.quarantinedUntilMs - timers.getNow()),
					});
				}
			}
		}
	};

	const commitEnds = async (ends: readonly RunEnd[]): Promise<boolean> => {
		updateHealth(ends);
		for (const {task, run, ending} of ends.filter(end => isLateReport(end))) {
			log.info(`task ${task}: run ${run} was given up, and had ended as ${ending}`, {
				id: task, run, minion: record.minion, ending,
			});
		}

		for (const {ending} of ends) {
			metrics.count('runs_ended_total', ending);
		}

		const jobs = new Set(ends.flatMap(({task}) => findTask(context.getLedger(), task)?.job ?? []));
		const activeJobs = [...jobs].filter(({status}) => status === 'active');
		const isNoted = await context.commit({
			type: 'runs/ended', term: fencingToken, ends, atMs: context.getWallClock(),
		});
		context.onEndsRecorded(activeJobs);
		dropEndedRuns();
		context.onRunsEnded();
		return isNoted;
	};

	const endRuns = async (ends: readonly RunEnd[]): Promise<boolean> => {
		const live = ends.filter(end => isAssigned(end.task, end.run) || isLateReport(end));
		return live.length === 0 || commitEnds(live);
	};

	const leave = async (reason: string) => {
		log.info(`minion ${record.minion} is gone: ${reason}`, {minion: record.minion, life: record.life, reason});
		await context.commit({type: 'minion/left', term: fencingToken, life: record.life});
		context.onMinionsChanged();
	};

	const {sendStop, startRun: startControl, stopRun: stopControl} = createRunOrders({
		record,
		target,
		context,
		lease,
		isCurrent,
		canSendStarts: mayStart,
		isDraining,
		recordUnansweredStart(assignment) {
			lateStartGuard.recordUnansweredStart(assignment);
		},
		recordAnswer: noteHeard,
		endRuns,
		removeIncarnation: leave,
		pauseAssignments() {
			unhealthyUntilMs = timers.getNow() + holdWaitMs;
		},
	});

	const unassignedRuns = createUnassignedRuns({record, context, sendStop});

	const findTrackedRun = ({task, run}: RunningEntry): TrackedRun | undefined => {
		const control = trackedRuns.get(task);
		return control?.assignment.run === run && isAssigned(task, run) ? control : undefined;
	};

	const startUnsentRuns = () => {
		for (const control of trackedRuns.values()) {
			if (control.phase === 'unsent') {
				void (control.isStopRequested ? stopControl(control) : startControl(control));
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
		removeIncarnation: leave,
	});

	const commitListedEnds = async (report: HoldReport, sentAtMs: number) => {
		const highest = Math.max(lastSeen, ...report.finished.map(({number}) => number));
		const ends = [...toRunEnds(report.finished, record.life), ...inferMissingEnds(trackedRuns.values(), report, sentAtMs)];
		// An end is confirmed to the minion only once it is in the log.
		if (await endRuns(ends)) {
			lastSeen = highest;
		}
	};

	// Lapses have to be committed, and their late starts stopped on the minion, before its lease is granted anew.
	const resolveLapses = async () => !hasUncommittedLapse() && await lateStartGuard.closeLapsedRuns() && !hasUncommittedLapse();

	const handleHoldReport = async (report: HoldReport, sentAtMs: number) => {
		if (report.bornAtMs !== undefined && report.bornAtMs !== record.bornAtMs) {
			await lateStartGuard.handleNextIncarnation();
			return;
		}

		const wasSynced = isSynced;
		if (!wasSynced && !(await resolveLapses())) {
			return;
		}

		isSynced = true;
		lapsedRuns.clear();
		const unassigned: RunningEntry[] = [];
		for (const entry of report.running) {
			const control = findTrackedRun(entry);
			if (control === undefined) {
				unassigned.push(entry);
			} else {
				recordListedRun(control, entry, timers.getNow());
			}
		}

		unassignedRuns.stop(unassigned);

		// Each look grants the lease, so a slow log must not keep the next one waiting. What is listed meanwhile will
		// be listed again.
		pendingEndsCommit ??= commitListedEnds(report, sentAtMs).finally(() => {
			pendingEndsCommit = undefined;
		});
		await Promise.race([pendingEndsCommit, waitFor(timers, holdWaitMs)]);
		startUnsentRuns();
		if (!wasSynced) {
			context.onMinionsChanged();
		}
	};

	// Until a lasting task serves, its step can spare no other.
	const getHoldWaitMs = () => {
		const isWarmingUp = [...trackedRuns.values()].some(({assignment, phase, servingSinceMs}) => {
			const task = phase === 'running' && servingSinceMs === undefined ? findTask(context.getLedger(), assignment.task) : undefined;
			return task !== undefined && getStep(task).isLasting;
		});
		return isWarmingUp ? warmUpHoldWaitMs : holdWaitMs;
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

	const sendHold = async (): Promise<'again' | 'pause'> => {
		const sentAtMs = timers.getNow();
		// A silent minion is to be granted time again as soon as it answers.
		const waitMs = isSynced && !isSilent ? getHoldWaitMs() : 0;
		const answer = await minions.hold({
			target,
			fencingToken,
			// After a silence another life may answer, whose ends nobody has seen.
			lastSeen: isSilent ? 0 : lastSeen,
			deadlineMs: isSynced && !isSilent ? lease.grant() : undefined,
			waitMs,
			timeoutMs: waitMs + holdTimeoutMarginMs,
		});
		if (isClosed) {
			return 'pause';
		}

		noteHeard(answer);
		updateSilence(answer);
		if (answer.type === 'otherLife') {
			await leave('another life answers at its address');
			return 'pause';
		}

		if (answer.type !== 'answered') {
			return answer.type === 'noAnswer' ? 'again' : 'pause';
		}

		if (answer.value === 'fenced') {
			context.onFenced();
			return 'pause';
		}

		await handleHoldReport(answer.value, sentAtMs);
		return 'again';
	};

	const run = async () => {
		while (isOpen()) {
			const next = context.canAct() ? await sendHold() : 'pause'; // eslint-disable-line no-await-in-loop -- one look after the other
			if (next === 'pause') {
				await waitFor(timers, holdRetryDelayMs); // eslint-disable-line no-await-in-loop -- one look after the other
			}
		}
	};

	const expireLease = async () => {
		isExpiringLease = true;
		isSynced = false;
		lease.reset();
		const runs = listLedgerRuns();
		for (const [task, number] of runs) {
			lapsedRuns.set(task, number);
		}

		metrics.count('leases_lapsed_total');
		log.warn(`the lease on minion ${record.minion} ran out with ${runs.length} runs`, {
			minion: record.minion, life: record.life, silentMs: Math.round(timers.getNow() - lastContactAtMs), tasks: runs.map(([task]) => task),
		});
		const proposedAtMs = timers.getNow();
		const isNoted = await commitEnds(runs.map(([task, number]) => createRunEnd({task, run: number, life: record.life}, 'lapsed')));
		log.info(`lapse of ${runs.length} runs on minion ${record.minion}: ${isNoted ? 'committed' : 'outcome unknown'}`, {
			minion: record.minion, life: record.life, isNoted, tookMs: Math.round(timers.getNow() - proposedAtMs), silentMs: Math.round(timers.getNow() - lastContactAtMs),
		});
		isExpiringLease = false;
	};

	// Runs that an earlier leader assigned, or this one without learning that the log took them.
	const adoptUnknownRuns = () => {
		for (const [task, number] of listLedgerRuns()) {
			if (isAssigned(task, number) && trackedRuns.get(task)?.assignment.run !== number) {
				trackedRuns.set(task, createTrackedRun({task, run: number, life: record.life}, {isInherited: true}));
			}
		}
	};

	adoptUnknownRuns();

	void run();

	return {
		record,
		start(assignment) {
			const control = createTrackedRun(assignment, {isInherited: false});
			trackedRuns.set(assignment.task, control);
			if (isSynced) {
				void startControl(control);
			}
		},
		stop(task, reason) {
			const control = trackedRuns.get(task);
			if (control === undefined || control.isStopRequested) {
				return;
			}

			control.isStopRequested = true;
			log.info(`run ${control.assignment.run} of task ${task} is stopped: ${reason}`, {
				id: task, run: control.assignment.run, minion: record.minion, reason,
			});
			if (control.phase === 'running' || (control.phase === 'unsent' && isSynced)) {
				void stopControl(control);
			}
		},
		setPace(task, percent) {
			const control = trackedRuns.get(task);
			if (control === undefined || control.pacePercent === percent || !context.canAct()) {
				return;
			}

			const before = control.pacePercent;
			control.pacePercent = percent;
			void minions.pace({
				target, fencingToken, task, run: control.assignment.run, percent, timeoutMs: orderTimeoutMs,
			}).then(answer => {
				noteHeard(answer);
				if (answer.type !== 'answered') {
					control.pacePercent = before;
				}
			});
		},
		recordReport(report) {
			if (report.sequence <= sequence) {
				return;
			}

			sequence = report.sequence;
			lastContactAtMs = timers.getNow();
		},
		tick() {
			adoptUnknownRuns();
			for (const control of trackedRuns.values()) {
				// The stop was asked for before a look had shown the run.
				if (control.isStopRequested && control.phase === 'running') {
					void stopControl(control);
				}

				const isLost = control.phase === 'stopping' && control.stopAckedAtMs !== undefined && timers.getNow() - control.stopAckedAtMs > leaseMs;
				if (isLost) {
					control.phase = 'running';
					control.stopAckedAtMs = undefined;
					void stopControl(control);
				}
			}

			if (lateStartGuard.isSuperseded()) {
				void lateStartGuard.handleNextIncarnation();
			} else if (listLedgerRuns().length > 0 && !isExpiringLease && lease.isExpired(isSynced) && context.canAct()) {
				void expireLease();
			}
		},
		isUsable: () => isAnswering() && !lateStartGuard.isSuperseded() && !isDraining() && !isClosed && timers.getNow() >= unhealthyUntilMs,
		isAnswering,
		isDraining,
		getMaximumRuns: () => getRunLimit(health, timers.getNow()),
		isSuspect: () => isSuspectedSlow(speed, timers.getNow()),
		recordSlowness(slowness) {
			speed = notePace(speed, {slowness, nowMs: timers.getNow()});
		},
		getRun(task) {
			const control = trackedRuns.get(task);
			return control && toRunView(control);
		},
		listRuns: () => [...trackedRuns.values()].map(control => toRunView(control)),
		getLastContactAtMs: () => lastContactAtMs,
		handleNextIncarnation: lateStartGuard.handleNextIncarnation,
		hasUnblockedLapsedRuns: lateStartGuard.hasUnblockedLapsedRuns,
		close() {
			isClosed = true;
		},
	};
}
