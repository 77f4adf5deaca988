/**
 * The leader's dealings with one life of a minion: its lease, its runs, and what it lists of them.
 */
import type {TimerService} from '@samphiremill/common';
import {
	findTask, getInheritedLeaseMs, getLeaseDeadline, getRunBound, getStep, isLeaseOver, isSuspectedSlow,
	notePace, noteRunDone, noteRunFailed, unknownHealth, unknownPace,
	type ClockReading, type Job, type Ledger, type LedgerCommand, type LifeId, type MinionHealth, type MinionPace,
	type MinionRecord, type RunAssignment, type RunEnd, type RunEnding, type Task, type TaskId, type Ticket,
} from '@samphiremill/core';
import type {DecisionLog} from '../runtime/types.js';
import {
	holdRetryMs, holdSlackMs, holdWaitMs, orderRetryMs, orderTimeoutMs, warmUpWaitMs,
} from './constants.js';
import type {SchedulerMetrics} from './metrics.js';
import type {
	FinishedEntry, HoldReport, MinionAnswer, MinionPort, MinionReport, MinionTarget, RunningEntry, StartResult,
} from './types.js';

/** What a session needs of the leader. */
export type SessionContext = {
	readonly timers: TimerService;
	readonly minions: MinionPort;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
	readonly fencingToken: number;
	readonly leaseMs: number;
	/** When the term began, on the monotonic clock. */
	readonly termBeganAtMs: number;
	readonly getLedger: () => Ledger;
	/** Whether this host may still give orders; asked right before each. */
	readonly canAct: () => boolean;
	/** Resolves once the command is applied; false if it was not, or may not have been. */
	readonly decide: (command: LedgerCommand) => Promise<boolean>;
	readonly getWallClock: () => number;
	/** Something changed that a plan may use. */
	readonly onChanged: () => void;
	/** A minion follows a newer leader. */
	readonly onFenced: () => void;
	readonly getTicket: (task: Task, life: LifeId) => Ticket | undefined;
	readonly dropTicket: (task: Task, life: LifeId) => void;
	readonly noteFailure: (task: TaskId, life: LifeId) => void;
	readonly noteDone: (task: TaskId, done: {readonly life: LifeId; readonly elapsedMs: number}) => void;
	/** Jobs that were active before ends were noted. */
	readonly onEndsNoted: (jobs: readonly Job[]) => void;
};

/** How an order stands. */
type RunPhase = 'unsent' | 'starting' | 'running' | 'stopping';

/** The leader's view of one run. */
export type RunView = {
	readonly task: TaskId;
	readonly run: number;
	readonly phase: RunPhase;
	readonly startedAtMs: number | undefined;
	/** When a listing first showed the run at full work. */
	readonly servingSinceMs: number | undefined;
	/** How much of its work is done; of a lasting task, 100 once it serves at full pace. */
	readonly percent: number;
	/** When it was last listed, and when a listing last showed more progress. */
	readonly listedAtMs: number | undefined;
	readonly progressedAtMs: number | undefined;
	readonly gauge: number;
	readonly pacePercent: number;
};

type RunControl = {
	readonly assignment: RunAssignment;
	phase: RunPhase;
	isStopWanted: boolean;
	/** A start was sent and got no answer, so it may be carried out later. */
	mayStartLate: boolean;
	startedAtMs: number | undefined;
	/** A listing that was asked for after this moment must name the run. */
	listedFromMs: number | undefined;
	stopAckedAtMs: number | undefined;
	endingWithoutListing: RunEnding | undefined;
	servingSinceMs: number | undefined;
	percent: number;
	listedAtMs: number | undefined;
	progressedAtMs: number | undefined;
	gauge: number;
	pacePercent: number;
};

/** The leader's view of one life of a minion. */
export type MinionSession = {
	readonly record: MinionRecord;
	/** Sends the start of an assigned run. */
	readonly start: (assignment: RunAssignment) => void;
	/** Has a run stopped, if it is here. */
	readonly stop: (task: TaskId, reason: string) => void;
	readonly setPace: (task: TaskId, percent: number) => void;
	readonly takeReport: (report: MinionReport) => void;
	readonly tick: () => void;
	/** Whether it answered a moment ago. */
	readonly isAnswering: () => boolean;
	/** Whether it answers, is ready, and may be given work. */
	readonly isUsable: () => boolean;
	readonly isDraining: () => boolean;
	readonly getRunBound: () => number;
	/** Whether its runs have taken far longer than expected. */
	readonly isSuspect: () => boolean;
	/** Takes in how a run here compares with the same work elsewhere. */
	readonly notePace: (slowness: number) => void;
	readonly getRun: (task: TaskId) => RunView | undefined;
	readonly listRuns: () => readonly RunView[];
	/** When it last reported or answered, on the monotonic clock. */
	readonly getHeardAtMs: () => number;
	readonly close: () => void;
};

const fullListLength = 500;
const fullPacePercent = 100;

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
	const controls = new Map<TaskId, RunControl>();
	let clock: ClockReading | undefined;
	let latestDeadlineMs = 0;
	let lastSeen = 0;
	let isSynced = false;
	let isClosed = false;
	let isDraining = false;
	let health: MinionHealth = unknownHealth;
	let pace: MinionPace = unknownPace;
	let heardAtMs: number = timers.getNow();
	let unhealthyUntilMs = 0;
	let sequence = -1;
	let isLapsing = false;
	/** The last look got no answer. */
	let isSilent = false;
	// Leases that an earlier leader granted may still run from here on.
	const unknownSinceMs = context.termBeganAtMs;

	const isOpen = () => !isClosed;

	const isAnswering = () => isSynced && !isSilent && timers.getNow() - heardAtMs < holdWaitMs + holdSlackMs;

	const pause = async (delayMs: number) => new Promise<void>(resolve => {
		timers.scheduleOnce(delayMs, resolve);
	});

	const createControl = (assignment: RunAssignment): RunControl => ({
		assignment,
		phase: 'unsent',
		isStopWanted: false,
		mayStartLate: false,
		startedAtMs: undefined,
		listedFromMs: undefined,
		stopAckedAtMs: undefined,
		endingWithoutListing: undefined,
		servingSinceMs: undefined,
		percent: 0,
		listedAtMs: undefined,
		progressedAtMs: undefined,
		gauge: 0,
		pacePercent: fullPacePercent,
	});

	const isAssigned = (task: TaskId, run: number) =>
		context.getLedger().lives.get(record.life)?.runs.get(task) === run;

	const isCurrent = (control: RunControl) => !isClosed
		&& controls.get(control.assignment.task) === control
		&& isAssigned(control.assignment.task, control.assignment.run);

	const dropEndedControls = () => {
		for (const [task, {assignment}] of controls) {
			if (!isAssigned(task, assignment.run)) {
				controls.delete(task);
			}
		}
	};

	// A look without an answer may have been carried out, so a silent minion is granted no more time.
	const grantDeadline = (reading: ClockReading): number => {
		if (isSilent) {
			return latestDeadlineMs;
		}

		const deadlineMs = getLeaseDeadline(reading, {nowMs: timers.getNow(), leaseMs});
		latestDeadlineMs = Math.max(latestDeadlineMs, deadlineMs);
		return deadlineMs;
	};

	const noteHeard = (answer: MinionAnswer<unknown>) => {
		if (answer.type === 'answered') {
			heardAtMs = timers.getNow();
			clock = {minionMs: answer.clockMs, receivedAtMs: timers.getNow()};
		}
	};

	const noteLength = (task: TaskId) => {
		const startedAtMs = controls.get(task)?.startedAtMs;
		if (startedAtMs !== undefined) {
			context.noteDone(task, {life: record.life, elapsedMs: timers.getNow() - startedAtMs});
		}
	};

	const noteHealth = (ends: readonly RunEnd[]) => {
		for (const {ending, task} of ends) {
			const job = findTask(context.getLedger(), task)?.job.id;
			if (ending === 'done') {
				health = noteRunDone(health);
				noteLength(task);
			} else if (ending === 'failed' && job !== undefined) {
				context.noteFailure(task, record.life);
				log.info(`task ${task} failed on minion ${record.minion}`, {id: task, minion: record.minion, failures: (findTask(context.getLedger(), task)?.failures ?? 0) + 1});
				const before = health.quarantineCount;
				health = noteRunFailed(health, {job, nowMs: timers.getNow()});
				if (health.quarantineCount > before) {
					log.warn(`minion ${record.minion} fails what it starts and gets no work for a while`, {
						minion: record.minion, life: record.life, untilMs: Math.round(health.quarantinedUntilMs - timers.getNow()),
					});
				}
			}
		}
	};

	const endRuns = async (ends: readonly RunEnd[]): Promise<boolean> => {
		const live = ends.filter(({task, run}) => isAssigned(task, run));
		if (live.length === 0) {
			return true;
		}

		noteHealth(live);
		for (const {ending} of live) {
			metrics.count('runs_ended_total', ending);
		}

		const jobs = new Set(live.flatMap(({task}) => findTask(context.getLedger(), task)?.job ?? []));
		const activeJobs = [...jobs].filter(({status}) => status === 'active');
		const isNoted = await context.decide({
			type: 'runs/ended', term: fencingToken, ends: live, atMs: context.getWallClock(),
		});
		context.onEndsNoted(activeJobs);
		dropEndedControls();
		context.onChanged();
		return isNoted;
	};

	const createEnd = ({task, run}: RunAssignment, ending: RunEnding, checkpoint = ''): RunEnd => ({
		task, run, life: record.life, ending, checkpoint,
	});

	const sendStop = async (task: TaskId, run: number): Promise<boolean> => {
		if (!context.canAct()) {
			return false;
		}

		const answer = await minions.stop({
			target, fencingToken, task, run, timeoutMs: orderTimeoutMs,
		});
		noteHeard(answer);
		if (answer.type === 'answered' && answer.value === 'fenced') {
			context.onFenced();
			return false;
		}

		return answer.type === 'answered';
	};

	const stopControl = async (control: RunControl) => {
		const {task, run} = control.assignment;
		if (control.phase === 'stopping') {
			return;
		}

		control.phase = 'stopping';
		while (isCurrent(control)) {
			if (await sendStop(task, run)) { // eslint-disable-line no-await-in-loop -- until it is confirmed
				control.stopAckedAtMs = timers.getNow();
				return;
			}

			await pause(orderRetryMs); // eslint-disable-line no-await-in-loop -- until it is confirmed
		}
	};

	const refuseRun = async (control: RunControl, reason: string) => {
		log.info(`minion ${record.minion} did not start ${control.assignment.task}: ${reason}`, {
			id: control.assignment.task, run: control.assignment.run, minion: record.minion, reason,
		});
		// An earlier copy of the order may still arrive, so the run is closed there first.
		if (control.mayStartLate) {
			control.endingWithoutListing = 'refused';
			void stopControl(control);
			return;
		}

		await endRuns([createEnd(control.assignment, 'refused')]);
	};

	const takeStartResult = async (control: RunControl, result: StartResult): Promise<'over' | 'again'> => {
		if (result.type === 'started') {
			control.phase = control.phase === 'stopping' ? 'stopping' : 'running';
			control.startedAtMs ??= timers.getNow();
			control.listedFromMs ??= timers.getNow();
			return 'over';
		}

		const {task} = control.assignment;
		switch (result.reason) {
			case 'fenced': {
				context.onFenced();
				return 'over';
			}

			case 'oldRun': {
				// It ran and ended before; the listing says how.
				control.phase = 'running';
				control.listedFromMs ??= timers.getNow();
				return 'over';
			}

			case 'lateDeadline': {
				return 'again';
			}

			case 'badTicket': {
				const known = findTask(context.getLedger(), task);
				if (known !== undefined) {
					context.dropTicket(known, record.life);
				}

				await refuseRun(control, 'its ticket does not hold');
				return 'over';
			}

			case 'noRoom': {
				unhealthyUntilMs = timers.getNow() + holdWaitMs;
				await refuseRun(control, 'it has no room');
				return 'over';
			}

			case 'other': {
				await refuseRun(control, 'it refused the order');
				return 'over';
			}
		}
	};

	const sendStart = async (control: RunControl): Promise<'over' | 'again'> => {
		const {task: id, run} = control.assignment;
		const task = findTask(context.getLedger(), id);
		if (task === undefined || clock === undefined || !context.canAct()) {
			return 'again';
		}

		const ticket = context.getTicket(task, record.life);
		const answer = await minions.start({
			target,
			fencingToken,
			task: id,
			run,
			payload: task.job.specification.payload,
			deadlineMs: grantDeadline(clock),
			checkpoint: task.checkpoint,
			ticket,
			timeoutMs: orderTimeoutMs,
		});
		noteHeard(answer);
		switch (answer.type) {
			case 'answered': {
				return takeStartResult(control, answer.value);
			}

			case 'noAnswer': {
				control.mayStartLate = true;
				return 'again';
			}

			case 'notSent': {
				return 'again';
			}

			case 'otherLife': {
				await leave('another life answers at its address');
				return 'over';
			}

			case 'unhealthy': {
				unhealthyUntilMs = timers.getNow() + holdWaitMs;
				await refuseRun(control, 'it is unhealthy');
				return 'over';
			}

			case 'invalid': {
				log.error(`minion ${record.minion} did not understand the start of ${id}: ${answer.message}`, {id, run, minion: record.minion});
				await refuseRun(control, answer.message);
				return 'over';
			}
		}
	};

	const startControl = async (control: RunControl) => {
		control.phase = 'starting';
		while (isCurrent(control) && control.phase === 'starting') {
			if (control.isStopWanted) {
				await stopControl(control); // eslint-disable-line no-await-in-loop -- ends the loop
				return;
			}

			const outcome = await sendStart(control); // eslint-disable-line no-await-in-loop -- until it is answered
			if (outcome === 'over') {
				break;
			}

			await pause(orderRetryMs); // eslint-disable-line no-await-in-loop -- until it is answered
		}

		if (control.isStopWanted && isCurrent(control)) {
			await stopControl(control);
		}
	};

	const leave = async (reason: string) => {
		log.info(`minion ${record.minion} is gone: ${reason}`, {minion: record.minion, life: record.life, reason});
		await context.decide({type: 'minion/left', term: fencingToken, life: record.life});
		context.onChanged();
	};

	const noteRunning = ({task, run, percent, gauge}: RunningEntry) => {
		const control = controls.get(task);
		if (control?.assignment.run !== run || !isAssigned(task, run)) {
			// Neither assigned nor ended here: an order of an earlier leader, or one that arrived late.
			void sendStop(task, run);
			return;
		}

		if (control.phase === 'starting' || control.phase === 'unsent') {
			control.phase = 'running';
		}

		control.startedAtMs ??= timers.getNow();
		if (percent > control.percent || control.listedAtMs === undefined) {
			control.progressedAtMs = timers.getNow();
		}

		control.listedAtMs = timers.getNow();
		control.percent = percent;
		control.gauge = gauge;
		if (percent >= fullPacePercent) {
			control.servingSinceMs ??= timers.getNow();
		} else {
			control.servingSinceMs = undefined;
		}
	};

	const listMissing = (report: HoldReport, sentAtMs: number): readonly RunEnd[] => {
		if (report.finished.length >= fullListLength) {
			return [];
		}

		const listed = new Set<string>([...report.running, ...report.finished].map(({task, run}) => `${task}/${run}`));
		return [...controls.values()].flatMap(control => {
			const {assignment, stopAckedAtMs, listedFromMs, phase} = control;
			if (listed.has(`${assignment.task}/${assignment.run}`)) {
				return [];
			}

			if (stopAckedAtMs !== undefined && stopAckedAtMs < sentAtMs) {
				return [createEnd(assignment, control.endingWithoutListing ?? 'stopped')];
			}

			return phase === 'running' && listedFromMs !== undefined && listedFromMs < sentAtMs
				? [createEnd(assignment, 'lapsed')]
				: [];
		});
	};

	const takeFinished = (entries: readonly FinishedEntry[]): readonly RunEnd[] => entries
		.map(({task, run, ending, checkpoint}) => ({
			task, run, life: record.life, ending, checkpoint,
		}));

	const startUnsent = () => {
		for (const control of controls.values()) {
			if (control.phase === 'unsent') {
				void (control.isStopWanted ? stopControl(control) : startControl(control));
			}
		}
	};

	const takeHoldReport = async (report: HoldReport, sentAtMs: number) => {
		if (report.bornAtMs !== undefined && report.bornAtMs !== record.bornAtMs) {
			await leave('it began another life');
			return;
		}

		const wasSynced = isSynced;
		isSynced = true;
		for (const entry of report.running) {
			noteRunning(entry);
		}

		const highest = Math.max(lastSeen, ...report.finished.map(({number}) => number));
		const ends = [...takeFinished(report.finished), ...listMissing(report, sentAtMs)];
		// An end is confirmed to the minion only once it is in the log.
		if (await endRuns(ends)) {
			lastSeen = highest;
		}

		startUnsent();
		if (!wasSynced) {
			context.onChanged();
		}
	};

	// Until a lasting task serves, its step can spare no other.
	const getHoldWaitMs = () => {
		const isWarmingUp = [...controls.values()].some(({assignment, phase, servingSinceMs}) => {
			const task = phase === 'running' && servingSinceMs === undefined ? findTask(context.getLedger(), assignment.task) : undefined;
			return task !== undefined && getStep(task).isLasting;
		});
		return isWarmingUp ? warmUpWaitMs : holdWaitMs;
	};

	const noteSilence = ({type}: MinionAnswer<unknown>) => {
		const isSilentNow = type !== 'answered';
		if (isSilentNow !== isSilent) {
			log.info(`minion ${record.minion} ${isSilentNow ? 'does not answer' : 'answers again'}`, {
				minion: record.minion, life: record.life, outcome: type, silentMs: Math.round(timers.getNow() - heardAtMs),
			});
		}

		isSilent = isSilentNow;
	};

	const hold = async (): Promise<'again' | 'pause'> => {
		const sentAtMs = timers.getNow();
		const waitMs = isSynced ? getHoldWaitMs() : 0;
		const answer = await minions.hold({
			target,
			fencingToken,
			lastSeen,
			deadlineMs: clock === undefined || !isSynced || isSilent ? undefined : grantDeadline(clock),
			waitMs,
			timeoutMs: waitMs + holdSlackMs,
		});
		if (isClosed) {
			return 'pause';
		}

		noteHeard(answer);
		noteSilence(answer);
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

		await takeHoldReport(answer.value, sentAtMs);
		return 'again';
	};

	const run = async () => {
		while (isOpen()) {
			const next = context.canAct() ? await hold() : 'pause'; // eslint-disable-line no-await-in-loop -- one look after the other
			if (next === 'pause') {
				await pause(holdRetryMs); // eslint-disable-line no-await-in-loop -- one look after the other
			}
		}
	};

	const hasLapsed = () => {
		const nowMs = timers.getNow();
		if (clock === undefined || latestDeadlineMs === 0) {
			return !isSynced && nowMs - unknownSinceMs > getInheritedLeaseMs(leaseMs);
		}

		return isLeaseOver(clock, {nowMs, deadlineMs: latestDeadlineMs});
	};

	const lapse = async () => {
		isLapsing = true;
		isSynced = false;
		clock = undefined;
		latestDeadlineMs = 0;
		const runs = [...context.getLedger().lives.get(record.life)?.runs ?? []];
		metrics.count('leases_lapsed_total');
		log.warn(`the lease on minion ${record.minion} ran out with ${runs.length} runs`, {
			minion: record.minion, life: record.life, silentMs: Math.round(timers.getNow() - heardAtMs), tasks: runs.map(([task]) => task),
		});
		await endRuns(runs.map(([task, number]) => createEnd({task, run: number, life: record.life}, 'lapsed')));
		isLapsing = false;
	};

	for (const [task, number] of context.getLedger().lives.get(record.life)?.runs ?? []) {
		controls.set(task, createControl({task, run: number, life: record.life}));
	}

	void run();

	const toView = ({assignment, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent}: RunControl): RunView => ({
		task: assignment.task, run: assignment.run, phase, startedAtMs, servingSinceMs, percent, listedAtMs, progressedAtMs, gauge, pacePercent,
	});

	return {
		record,
		start(assignment) {
			const control = createControl(assignment);
			controls.set(assignment.task, control);
			if (isSynced) {
				void startControl(control);
			}
		},
		stop(task, reason) {
			const control = controls.get(task);
			if (control === undefined || control.isStopWanted) {
				return;
			}

			control.isStopWanted = true;
			log.info(`run ${control.assignment.run} of task ${task} is stopped: ${reason}`, {
				id: task, run: control.assignment.run, minion: record.minion, reason,
			});
			if (control.phase === 'running' || (control.phase === 'unsent' && isSynced)) {
				void stopControl(control);
			}
		},
		setPace(task, percent) {
			const control = controls.get(task);
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
		takeReport(report) {
			if (report.sequence <= sequence) {
				return;
			}

			sequence = report.sequence;
			heardAtMs = timers.getNow();
			if (report.isDraining && !isDraining) {
				isDraining = true;
				log.info(`minion ${record.minion} drains`, {minion: record.minion, life: record.life, remainingMs: report.remainingMs});
				context.onChanged();
			}
		},
		tick() {
			for (const control of controls.values()) {
				// The stop was asked for before a look had shown the run.
				if (control.isStopWanted && control.phase === 'running') {
					void stopControl(control);
				}

				const isLost = control.phase === 'stopping' && control.stopAckedAtMs !== undefined && timers.getNow() - control.stopAckedAtMs > leaseMs;
				if (isLost) {
					control.phase = 'running';
					control.stopAckedAtMs = undefined;
					void stopControl(control);
				}
			}

			const hasRuns = (context.getLedger().lives.get(record.life)?.runs.size ?? 0) > 0;
			if (hasRuns && !isLapsing && hasLapsed() && context.canAct()) {
				void lapse();
			}
		},
		isUsable: () => isAnswering() && !isDraining && !isClosed && timers.getNow() >= unhealthyUntilMs,
		isAnswering,
		isDraining: () => isDraining,
		getRunBound: () => getRunBound(health, timers.getNow()),
		isSuspect: () => isSuspectedSlow(pace, timers.getNow()),
		notePace(slowness) {
			pace = notePace(pace, {slowness, nowMs: timers.getNow()});
		},
		getRun(task) {
			const control = controls.get(task);
			return control && toView(control);
		},
		listRuns: () => [...controls.values()].map(control => toView(control)),
		getHeardAtMs: () => heardAtMs,
		close() {
			isClosed = true;
		},
	};
}
