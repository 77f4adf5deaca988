/**
 * The limits that a run must keep on the minion that it is assigned to, decided on the ledger alone. The commit of
 * an assignment asks for all of them. A plan asks for the same ones with the runs that it has chosen before, and besides for what only
 * the leader knows: failures of the minion, suspects of a crash, advice and cordons.
 */
import type {TeamId} from '@samphiremill/common';
import {countStepRuns, findTask, getStep} from './ledger.js';
import {
	addResources, createResources, fitsInto, getReservedResources, subtractResources,
} from './resources.js';
import type {
	IncarnationId, IncarnationUsage, Ledger, MinionRecord, MutableResources, Resources, StepSpecification, Task, TaskId,
} from './types.js';

/** A limit on the tasks of a step on one minion. The names are values of log fields. */
export type StepLimit = 'label' | 'spread' | 'otherCopy';

/** A limit that keeps an assignment from being committed. The names are values of log fields and of a metric's label. */
export type AssignmentLimit = StepLimit | 'pool' | 'draining' | 'capacity' | 'team';

/** Returns the limit of its step that a run on a minion would break; `undefined` if it breaks none. */
export function findStepLimit(step: StepSpecification, {task, record, runsOfStep}: {
	readonly task: Task;
	readonly record: MinionRecord;
	/** How many runs of the step the minion has; need not be counted if the step has no maximum for a minion. */
	readonly runsOfStep: number;
}): StepLimit | undefined {
	if (step.requiredLabel !== undefined && !record.labels.includes(step.requiredLabel)) {
		return 'label';
	}

	if (runsOfStep >= (step.maximumPerMinion ?? Number.POSITIVE_INFINITY)) {
		return 'spread';
	}

	return task.runs.some(({life}) => life === record.life) ? 'otherCopy' : undefined;
}

/** Counts the tasks of a step among those that a minion runs without being assigned them. */
export function countUnassignedOfStep(unassigned: readonly TaskId[], {job, occurrence, step}: Pick<Task, 'job' | 'occurrence' | 'step'>): number {
	const prefix = `${job.id}.${occurrence}.${step}.`;
	return unassigned.filter(id => id.startsWith(prefix)).length;
}

/** Returns the resources that tasks which a minion runs without being assigned them take there; unknown tasks count nothing. */
export function sumUnassigned(ledger: Ledger, unassigned: readonly TaskId[]): Resources {
	const sum = createResources();
	for (const id of unassigned) {
		const task = findTask(ledger, id);
		if (task !== undefined) {
			addResources(sum, getReservedResources(getStep(task)), 1);
		}
	}

	return sum;
}

/** Returns whether an assigned run would break a limit of its minion beside tasks that run there without being assigned. */
export function isBlockedByUnassigned(ledger: Ledger, {task, life, unassigned}: {readonly task: Task; readonly life: IncarnationId; readonly unassigned: readonly TaskId[]}): boolean {
	const usage = ledger.incarnations.get(life);
	const others = unassigned.filter(id => id !== task.id);
	if (usage === undefined || others.length === 0) {
		return false;
	}

	const {maximumPerMinion = Number.POSITIVE_INFINITY} = getStep(task);
	return countStepRuns(task, life) + countUnassignedOfStep(others, task) > maximumPerMinion
		|| !fitsInto(subtractResources(usage.record.capacity, usage.used), sumUnassigned(ledger, others));
}

/** Returns whether the free resources of a minion are enough for one more run of a step. */
export function hasRoomForRun(free: Resources, step: StepSpecification): boolean {
	return fitsInto(free, getReservedResources(step));
}

const toLimit = (amount: number) => amount === 0 ? Number.POSITIVE_INFINITY : amount;

/** Returns how much more of each resource the tasks of a team may use; infinite where the team has no maximum. */
export function getFreeTeamResources({configuration, usedByTeam}: Ledger, team: TeamId): MutableResources {
	const maximum: Resources = configuration?.teamsById.get(team)?.maximum ?? createResources();
	const free = {
		cpuMillicores: toLimit(maximum.cpuMillicores), memoryMb: toLimit(maximum.memoryMb), gpus: toLimit(maximum.gpus),
	};
	addResources(free, usedByTeam.get(team) ?? createResources(), -1);
	return free;
}

/** Returns whether the maximum of the team, if it has one, leaves room for one more task of a step. */
export function hasTeamRoom(ledger: Ledger, {job: {team}}: Task, step: StepSpecification): boolean {
	return team === undefined || fitsInto(getFreeTeamResources(ledger, team), step.request);
}

const isWithin = (used: Resources, maximum: Resources, request: Resources) =>
	(request.cpuMillicores === 0 || used.cpuMillicores <= maximum.cpuMillicores)
	&& (request.memoryMb === 0 || used.memoryMb <= maximum.memoryMb)
	&& (request.gpus === 0 || used.gpus <= maximum.gpus);

/**
 * Returns the limit that the start of an assigned run would break now: the capacity of its minion or the maximum of its team may have become
 * smaller since the assignment. `undefined` if it breaks none.
 */
export function findStartLimit(ledger: Ledger, task: Task, life: IncarnationId): 'capacity' | 'team' | undefined {
	const usage = ledger.incarnations.get(life);
	const step = getStep(task);
	if (usage !== undefined && !isWithin(usage.used, usage.record.capacity, getReservedResources(step))) {
		return 'capacity';
	}

	const {team} = task.job;
	// The other members of a gang would wait for this one in vain.
	const isBeyondMaximum = team !== undefined && !step.isGang && !isWithin(createResources(), getFreeTeamResources(ledger, team), step.request);
	return isBeyondMaximum ? 'team' : undefined;
}

const countRunsOfStep = (task: Task, {maximumPerMinion}: StepSpecification, life: IncarnationId) =>
	maximumPerMinion === undefined ? 0 : countStepRuns(task, life);

/** Returns the limit that a run of a task on an incarnation would break, as the ledger stands; `undefined` if it breaks none. */
export function findAssignmentLimit(ledger: Ledger, task: Task, {record, used, isDraining}: IncarnationUsage): AssignmentLimit | undefined {
	const step = getStep(task);
	if (record.pool !== task.job.pool) {
		return 'pool';
	}

	if (isDraining) {
		return 'draining';
	}

	if (!hasRoomForRun(subtractResources(record.capacity, used), step)) {
		return 'capacity';
	}

	if (!hasTeamRoom(ledger, task, step)) {
		return 'team';
	}

	return findStepLimit(step, {task, record, runsOfStep: countRunsOfStep(task, step, record.life)});
}
