import type {JobId} from '@samphiremill/common';
import {
	backgroundCrashCount, backgroundCrashMs, crashProofWaitMs, maximumCrashes, maximumLosses, sharedLossMs,
} from '../constants.js';
import {
	isProbableCause, isSuddenLoss, isTelling, shouldGiveUp,
} from '../crash-suspicion.js';
import {endJob, findTask, replaceTask} from '../ledger.js';
import type {
	CrashVerdict, IncarnationId, IncarnationUsage, Ledger, LossEvidence, LostRun, MinionCrash, MinionLoss, RunLoss, Task, TaskId,
} from '../types.js';

const isNear = (left: number, right: number, distanceMs: number) => Math.abs(left - right) <= distanceMs;

const isSharedLoss = ({crashes}: Ledger, life: IncarnationId, {atMs, isShared}: MinionLoss) =>
	isShared || crashes.some(other => other.life !== life && !other.isSudden && isNear(other.atMs, atMs, sharedLossMs));

type LostTask = {
	readonly task: Task;
	readonly lost: LostRun;
};

const listLostTasks = (ledger: Ledger, {runs}: MinionLoss): readonly LostTask[] => runs.flatMap(lost => {
	const task = findTask(ledger, lost.task);
	return task === undefined ? [] : [{task, lost}];
});

const addLoss = (ledger: Ledger, {task, lost}: LostTask, loss: Omit<RunLoss, 'ranMs' | 'isAlone'>) => {
	if (isTelling(lost)) {
		const added: RunLoss = {...loss, ranMs: lost.ranMs, isAlone: false};
		replaceTask(ledger, task, {losses: [...task.losses, added].slice(-maximumLosses)});
	} else if (task.losses.length > 0) {
		replaceTask(ledger, task, {losses: []});
	}
};

type RecordedLoss = {
	readonly life: IncarnationId;
	readonly loss: MinionLoss;
	readonly evidence: LossEvidence;
};

// If suspects of earlier losses are among the lost tasks, the loss is held against these and those that had just started. A
// run that had lasted for seconds clears its task instead.
const recordLosses = (ledger: Ledger, {life, loss, evidence}: RecordedLoss) => {
	const isShared = isSharedLoss(ledger, life, loss);
	const lostTasks = listLostTasks(ledger, loss).filter(({task}) => !task.isDone && !task.losses.some(known => known.life === life));
	const causes = lostTasks.filter(({task, lost}) => isProbableCause(task.losses, lost));
	const isBlamed = (lostTask: LostTask) => causes.length === 0 || causes.includes(lostTask) || isSuddenLoss([lostTask.lost]);
	for (const lostTask of lostTasks.filter(lostTask => isBlamed(lostTask))) {
		addLoss(ledger, lostTask, {
			life, atMs: loss.atMs, evidence, isShared,
		});
	}
};

/** Forgets that a run was lost, since its minion has answered for it or another task has crashed it. */
export function forgetLoss(ledger: Ledger, task: Task, life: IncarnationId): Task {
	return task.losses.some(loss => loss.life === life)
		? replaceTask(ledger, task, {losses: task.losses.filter(loss => loss.life !== life)})
		: task;
}

// The end was announced by the minion, or ordered.
const isPlannedEnd = ({workerOrders, waves}: Ledger, {record: {life, worker}, isDraining}: IncarnationUsage) => isDraining
	|| workerOrders.get(worker)?.isOpen === true
	|| [...waves.values()].some(({ordered}) => ordered.get(worker)?.life === life);

/**
 * Records at the tasks of a minion that their leases lapsed with it, which may be the work of a crash or of a cut. Does nothing
 * if the minion was to end.
 */
export function recordPresumedCrash(ledger: Ledger, life: IncarnationId, loss: MinionLoss): void {
	const usage = ledger.incarnations.get(life);
	if (usage !== undefined && !isPlannedEnd(ledger, usage)) {
		recordLosses(ledger, {life, loss, evidence: loss.isRefused ? 'refused' : 'silent'});
	}
}

const changeLoss = (ledger: Ledger, task: Task, {life, ...change}: Pick<RunLoss, 'life'> & Partial<RunLoss>): Task => replaceTask(ledger, task, {
	losses: task.losses.map(loss => loss.life === life ? {...loss, ...change} : loss),
});

const isCauseOf = ({losses}: Task, life: IncarnationId) => {
	const latest = losses.find(loss => loss.life === life);
	return latest !== undefined && isProbableCause(losses.filter(loss => loss.life !== life), latest);
};

// Whether these tasks belong to one job, and no run of another one had just started.
const isOnlyCause = (causes: readonly Task[], lost: readonly Task[], life: IncarnationId) => {
	const jobs = new Set<JobId>(causes.map(({job}) => job.id));
	const hasStartedLast = ({losses}: Task) => losses.some(loss => loss.life === life && loss.ranMs !== undefined && isSuddenLoss([loss]));
	return jobs.size === 1 && lost.every(task => jobs.has(task.job.id) || !hasStartedLast(task));
};

const hasBackground = ({crashes}: Ledger, {losses}: Task, atMs: number) => crashes.filter(crash => !crash.isExplained
	&& !crash.isSudden
	&& isNear(crash.atMs, atMs, backgroundCrashMs)
	&& !losses.some(({life}) => life === crash.life)).length >= backgroundCrashCount;

const listTasksOf = (ledger: Ledger, ids: Iterable<TaskId>): readonly Task[] => [...ids].flatMap(id => findTask(ledger, id) ?? []);

// The other tasks that were on these minions are cleared of their crashes.
const giveUp = (ledger: Ledger, task: Task, atMs: number) => {
	const lives = task.losses.filter(({evidence}) => evidence === 'crashed').map(({life}) => life);
	task.job.givenUp = {task: task.id, lives};
	endJob(ledger, task.job, {status: 'failed', atMs});
	ledger.crashes = ledger.crashes.map(crash => lives.includes(crash.life) ? {...crash, isExplained: true} : crash);
	for (const {life, tasks} of ledger.crashes.filter(crash => lives.includes(crash.life))) {
		for (const other of listTasksOf(ledger, tasks)) {
			forgetLoss(ledger, other, life);
		}
	}
};

/**
 * Records the unplanned end of an incarnation at the tasks that ran there, before these runs are removed, and gives up the
 * job of a task that crashed it.
 *
 * @param crash - The incarnation, and what the leader knows of its loss.
 * @returns What was concluded; `undefined` if the end was planned, or nobody knows when it was.
 */
export function recordCrash(ledger: Ledger, {usage, loss}: {readonly usage: IncarnationUsage; readonly loss: MinionLoss | undefined}): CrashVerdict | undefined {
	const {life} = usage.record;
	if (isPlannedEnd(ledger, usage)) {
		return undefined;
	}

	if (loss !== undefined) {
		recordLosses(ledger, {life, loss, evidence: 'crashed'});
	}

	// Runs that lapsed during an earlier silence, after which the minion answered again, were not lost in the crash.
	const isLostNow = (known: RunLoss) => known.life === life && (loss === undefined || isNear(known.atMs, loss.atMs, crashProofWaitMs));
	const lost = listTasksOf(ledger, new Set([...usage.lapsed.keys(), ...usage.runs.keys()])).filter(({losses}) => losses.some(known => isLostNow(known)));
	const atMs = loss?.atMs ?? lost[0]?.losses.find(known => isLostNow(known))?.atMs;
	if (atMs === undefined) {
		return undefined;
	}

	const isShared = loss !== undefined && isSharedLoss(ledger, life, loss);
	const crash: MinionCrash = {
		life,
		atMs,
		tasks: lost.map(({id}) => id),
		isSudden: isSuddenLoss([...loss?.runs ?? [], ...lost.flatMap(({losses}) => losses.filter(known => isLostNow(known)))]),
		isExplained: false,
	};
	ledger.crashes = [...ledger.crashes, crash].slice(-maximumCrashes);
	const crashed = lost.map(task => changeLoss(ledger, task, {life, evidence: 'crashed', ...(isShared && {isShared})}));
	const causes = crashed.filter(task => isCauseOf(task, life));
	const suspects = isOnlyCause(causes, crashed, life) ? causes.map(task => changeLoss(ledger, task, {life, isAlone: true})) : causes;
	const culprit = suspects.find(task => task.job.status === 'active' && shouldGiveUp(task.losses, {hasBackground: hasBackground(ledger, task, atMs)}));
	if (culprit !== undefined) {
		giveUp(ledger, culprit, atMs);
	}

	return {
		crash, suspects: causes.map(({id}) => id), isShared, givenUp: culprit?.job.id,
	};
}
