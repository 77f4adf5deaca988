/**
 * Checks in a simulation that no long-running task waits for long while nothing is wrong and a minion has room for it.
 */
import type {MinionId, TeamId} from '@samphiremill/common';
import {
	findTask, getStep, listTasks, type Ledger, type MinionRecord, type Resources, type Task, type TaskId,
} from '@samphiremill/core';

/** How long after its last run a task may wait, whatever the reason. */
const graceMs = 6000;

/** How long a task may wait after that while a minion has room. */
const maximumWaitMs = 3000;

/** How long before these the simulation must have been without faults. */
const calmBeforeMs = 4000;

/** A minion as it is, whatever the leader knows of it. */
export type MinionView = {
	readonly record: MinionRecord;
	/** Whether it is up, answers, starts what it is told to, and stays. */
	readonly isSound: boolean;
	/** The tasks that run on it, or are being stopped. */
	readonly tasks: ReadonlySet<string>;
};

/** What the check reads. */
export type WaitingInvariantOptions = {
	readonly getNow: () => number;
	readonly getLedger: () => Ledger;
	/** Lists the minions that are up, also those that do not answer. */
	readonly listMinions: () => readonly MinionView[];
	/** Whether the advice service allows the task on the minion. */
	readonly isApproved: (task: Task, minion: MinionId) => boolean;
};

/** The check of one simulation. */
export type WaitingInvariant = {
	/** Records that a fault is active until a time, in virtual milliseconds. */
	readonly recordFault: (untilMs: number) => void;
	/** Records the start of a run. It may end before the next sample. */
	readonly recordStart: (task: TaskId) => void;
	/** Compares the waiting tasks with the minions. Call it every 50 to 100 ms. */
	readonly sample: () => void;
	/** Lists the tasks that waited too long, each wait once. */
	readonly listViolations: () => readonly string[];
};

type Wait = {
	/** The end of the last run, or the first sight of the task. */
	readonly sinceMs: number;
	/** Since when a minion has had room in every sample. */
	readonly roomSinceMs: number | undefined;
	readonly isRecorded: boolean;
};

const sumRequests = (ledger: Ledger, tasks: Iterable<string>, isCounted: (task: Task) => boolean): Resources => {
	const sum = {cpuMillicores: 0, memoryMb: 0, gpus: 0};
	for (const id of tasks) {
		const task = findTask(ledger, id);
		if (task !== undefined && isCounted(task)) {
			const {isFiller, request} = getStep(task);
			sum.cpuMillicores += isFiller ? 0 : request.cpuMillicores;
			sum.memoryMb += request.memoryMb;
			sum.gpus += request.gpus;
		}
	}

	return sum;
};

const hasRoomTwice = (capacity: Resources, used: Resources, request: Resources) =>
	used.cpuMillicores + (2 * request.cpuMillicores) <= capacity.cpuMillicores
	&& used.memoryMb + (2 * request.memoryMb) <= capacity.memoryMb
	&& used.gpus + (2 * request.gpus) <= capacity.gpus;

const countStepRuns = (ledger: Ledger, {job, occurrence, step}: Task, tasks: Iterable<string>) => [...tasks].filter(id => {
	const other = findTask(ledger, id);
	return other?.job === job && other.occurrence === occurrence && other.step === step;
}).length;

const isBelowHalf = (maximum: number, used: number) => maximum === 0 || used < maximum / 2;

/** Creates the check without any faults or waits. */
export function createWaitingInvariant({getNow, getLedger, listMinions, isApproved}: WaitingInvariantOptions): WaitingInvariant {
	const waits = new Map<TaskId, Wait>();
	const violations: string[] = [];
	let lastFaultMs = 0;

	const listLongRunningTasks = () => [...getLedger().activeJobs]
		.filter(({specification}) => specification.steps.some(({isLasting}) => isLasting))
		.flatMap(job => listTasks(job))
		.filter(task => getStep(task).isLasting);

	const hasTeamRoom = (minions: readonly MinionView[], team: TeamId | undefined) => {
		const maximum = team === undefined ? undefined : getLedger().configuration?.teamsById.get(team)?.maximum;
		if (maximum === undefined) {
			return true;
		}

		const used = sumRequests(getLedger(), minions.flatMap(({tasks}) => [...tasks]), task => task.job.team === team);
		return isBelowHalf(maximum.cpuMillicores, used.cpuMillicores) && isBelowHalf(maximum.memoryMb, used.memoryMb) && isBelowHalf(maximum.gpus, used.gpus);
	};

	const listMinionsWithRoom = (task: Task, minions: readonly MinionView[]): readonly MinionView[] => {
		const {request, requiredLabel, maximumPerMinion = Number.POSITIVE_INFINITY} = getStep(task);
		const ledger = getLedger();
		return hasTeamRoom(minions, task.job.team)
			? minions.filter(({record, isSound, tasks}) => isSound
				&& record.pool === task.job.pool
				&& (requiredLabel === undefined || record.labels.includes(requiredLabel))
				&& countStepRuns(ledger, task, tasks) < maximumPerMinion
				&& hasRoomTwice(record.capacity, sumRequests(ledger, tasks, () => true), request)
				&& isApproved(task, record.minion))
			: [];
	};

	const isOverdue = ({sinceMs, roomSinceMs = Number.POSITIVE_INFINITY}: Wait) => {
		const nowMs = getNow();
		return nowMs - sinceMs >= graceMs + maximumWaitMs
			&& nowMs - roomSinceMs >= maximumWaitMs
			&& nowMs - lastFaultMs >= calmBeforeMs + maximumWaitMs;
	};

	const beginWait = (task: TaskId) => {
		waits.set(task, {sinceMs: getNow(), roomSinceMs: undefined, isRecorded: false});
	};

	const sampleTask = (task: Task, minions: readonly MinionView[]) => {
		const nowMs = getNow();
		const known = waits.get(task.id);
		if (known === undefined || minions.some(({tasks}) => tasks.has(task.id))) {
			beginWait(task.id);
			return;
		}

		const withRoom = listMinionsWithRoom(task, minions);
		const wait: Wait = {...known, roomSinceMs: withRoom.length === 0 ? undefined : known.roomSinceMs ?? nowMs};
		const isViolation = !known.isRecorded && isOverdue(wait);
		waits.set(task.id, {...wait, isRecorded: known.isRecorded || isViolation});
		if (isViolation) {
			const lives = withRoom.map(({record}) => record.life).join(', ');
			violations.push(`${task.id} waits at ${Math.round(nowMs)} ms since ${Math.round(known.sinceMs)} ms, last fault at ${Math.round(lastFaultMs)} ms, room on ${lives}`);
		}
	};

	return {
		recordFault(untilMs) {
			lastFaultMs = Math.max(lastFaultMs, untilMs);
		},
		recordStart: beginWait,
		sample() {
			const minions = listMinions();
			for (const task of listLongRunningTasks()) {
				sampleTask(task, minions);
			}
		},
		listViolations: () => violations,
	};
}
