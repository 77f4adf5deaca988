/**
 * The checks of a start that a minion carries out. Each returns what is wrong with it, or `undefined`.
 */
import type {
	FleetConfiguration, QueueDefinition, Resources, StepSpecification, TaskId,
} from '@samphiremill/core';
import {crashBudget, maximumCopies} from './constants.js';
import {
	findStep, getTask, isStepDone, listConfigurations, listRuns, listStepTasks, type FleetView, type JobView, type MinionView, type TaskView,
} from './fleet-view.js';
import {getStepName, parseTaskName} from './task-name.js';
import type {CheckLimits, ObservedStart, Rule} from './types.js';

/** A start with what is known of its task and minion. */
export type StartContext = {
	readonly view: FleetView;
	readonly nowMs: number;
	readonly wallClockMs: number;
	readonly limits: CheckLimits;
	readonly start: ObservedStart;
	readonly minion: MinionView;
	readonly job: JobView;
	readonly step: StepSpecification;
	readonly task: TaskView;
};

type StartCheck = (context: StartContext) => string | undefined;

const unlimited = Number.POSITIVE_INFINITY;

const listOtherRuns = ({view, start}: StartContext) => listRuns(view).filter(({task}) => task === start.task);

const listConfigurationsInForce = ({view, nowMs, limits: {configurationMs}}: StartContext): readonly FleetConfiguration[] =>
	listConfigurations(view, {nowMs, configurationMs});

const listQueues = (context: StartContext): readonly QueueDefinition[] =>
	listConfigurationsInForce(context).flatMap(({queues}) => queues.filter(({queue}) => queue === context.job.queue));

const sumRequests = (steps: readonly StepSpecification[], {isFillerCpuCounted}: {readonly isFillerCpuCounted: boolean}): Resources => {
	const sum = {cpuMillicores: 0, memoryMb: 0, gpus: 0};
	for (const {request, isFiller} of steps) {
		sum.cpuMillicores += isFiller && !isFillerCpuCounted ? 0 : request.cpuMillicores;
		sum.memoryMb += request.memoryMb;
		sum.gpus += request.gpus;
	}

	return sum;
};

const resourceNames = ['cpuMillicores', 'memoryMb', 'gpus'] as const;

const findExcess = (used: Resources, maximum: Resources, names: ReadonlyArray<keyof Resources> = resourceNames) => names.find(name => used[name] > maximum[name]);

const getRoom = ({record, earlierCapacities}: MinionView, nowMs: number): Resources => {
	const capacities = [record.capacity, ...earlierCapacities.filter(({untilMs}) => nowMs < untilMs).map(({capacity}) => capacity)];
	return {
		cpuMillicores: Math.max(...capacities.map(({cpuMillicores}) => cpuMillicores)),
		memoryMb: Math.max(...capacities.map(({memoryMb}) => memoryMb)),
		gpus: Math.max(...capacities.map(({gpus}) => gpus)),
	};
};

const listSteps = (view: FleetView, tasks: Iterable<TaskId>) => [...tasks].flatMap(task => findStep(view, task) ?? []);

/**
 * Returns which resource a minion would lack with one more task of a step.
 *
 * @param view - The fleet.
 * @param minion - The minion, the step and the time.
 * @returns The name of the resource; `undefined` if it has room.
 */
export function findLackingResource(view: FleetView, {minion, step, nowMs}: {readonly minion: MinionView; readonly step: StepSpecification; readonly nowMs: number}): string | undefined {
	const used = sumRequests([...listSteps(view, minion.runs.keys()), step], {isFillerCpuCounted: false});
	// A filler needs no processor of its own.
	return findExcess(used, getRoom(minion, nowMs), step.isFiller ? ['memoryMb', 'gpus'] : resourceNames);
}

const checkTwice: StartCheck = context => {
	const others = listOtherRuns(context);
	return others.length > 0 && !context.step.allowsCopies ? `beside ${others.map(({minion}) => minion.record.minion).join(', ')}` : undefined;
};

const checkCopies: StartCheck = context => {
	const others = listOtherRuns(context);
	return others.length >= maximumCopies ? `beside ${others.map(({minion}) => minion.record.minion).join(', ')}` : undefined;
};

const checkDone: StartCheck = ({task: {doneAtMs}, step, nowMs, limits, start}) => {
	if (doneAtMs === undefined) {
		return undefined;
	}

	const isTooLate = step.allowsCopies ? !start.isLate && nowMs - doneAtMs > limits.copyMs : true;
	return isTooLate ? `done for ${Math.round(nowMs - doneAtMs)} ms` : undefined;
};

const checkOrder: StartCheck = ({view, start, step}) => {
	const name = parseTaskName(start.task);
	const missing = step.dependsOn.filter(earlier => !isStepDone(view, {...name, step: earlier}));
	return missing.length > 0 ? `steps ${missing.join(', ')} are not done` : undefined;
};

const checkDue: StartCheck = ({job: {specification: {schedule}}, start, wallClockMs, limits}) => {
	if (schedule === undefined) {
		return undefined;
	}

	const dueAtMs = schedule.firstDueAtMs + (parseTaskName(start.task).occurrence * schedule.intervalMs);
	return wallClockMs < dueAtMs - limits.earlyMs ? `${Math.round(dueAtMs - wallClockMs)} ms before it is due` : undefined;
};

const checkRoom: StartCheck = ({view, minion, step, nowMs}) => {
	const lacking = findLackingResource(view, {minion, step, nowMs});
	return lacking === undefined ? undefined : `not enough ${lacking} beside ${[...minion.runs.keys()].join(', ')}`;
};

const getTeamMaximum = (context: StartContext): Resources => {
	const maxima = listConfigurationsInForce(context).flatMap(({teams}) => teams.filter(({team}) => team === context.job.team)).map(({maximum}) => maximum);
	const getHighest = (name: keyof Resources) => Math.max(...maxima.map(maximum => maximum[name] === 0 ? unlimited : maximum[name]));
	return {cpuMillicores: getHighest('cpuMillicores'), memoryMb: getHighest('memoryMb'), gpus: getHighest('gpus')};
};

const checkTeamMaximum: StartCheck = context => {
	const {view, job: {team}, step} = context;
	if (team === undefined) {
		return undefined;
	}

	const running = listRuns(view).map(({task}) => task).filter(task => view.jobs.get(parseTaskName(task).job)?.team === team);
	const used = sumRequests([...listSteps(view, running), step], {isFillerCpuCounted: true});
	const excess = findExcess(used, getTeamMaximum(context));
	return excess === undefined ? undefined : `${team} would use ${used[excess]} ${excess}`;
};

const checkSpread: StartCheck = ({start, minion, step: {maximumPerMinion = unlimited}}) => {
	const stepName = getStepName(start.task);
	const others = [...minion.runs.keys()].filter(task => task !== start.task && getStepName(task) === stepName);
	return others.length >= maximumPerMinion ? `beside ${others.join(', ')}; ${maximumPerMinion} may be there` : undefined;
};

const checkLabel: StartCheck = ({minion, step: {requiredLabel}}) =>
	requiredLabel === undefined || minion.record.labels.includes(requiredLabel) ? undefined : `${requiredLabel} is not among ${minion.record.labels.join(', ')}`;

const checkPool: StartCheck = context => {
	const {pool} = context.minion.record;
	return listQueues(context).some(queue => queue.pool === pool) ? undefined : `${pool} is not of ${context.job.queue}`;
};

// A ticket is valid in the life of the minion in which it was issued.
const checkTicket: StartCheck = context => {
	const {view, start, minion} = context;
	const queues = listQueues(context);
	if (queues.length === 0 || queues.some(({advice}) => advice === undefined)) {
		return undefined;
	}

	const issued = view.tickets.get(`${getStepName(start.task)} ${minion.record.minion}`);
	const issuedAtMs = start.ticket === undefined ? undefined : issued?.get(start.ticket);
	return issuedAtMs === undefined || issuedAtMs < minion.upSinceMs ? `ticket ${start.ticket ?? '(none)'}` : undefined;
};

const checkPayload: StartCheck = ({start, job}) => start.payload === job.specification.payload ? undefined : 'with another payload';

// The checkpoint of any member is valid for its gang.
const checkCheckpoint: StartCheck = ({view, start: {task, checkpoint}, step}) => {
	const savers = step.isGang ? listStepTasks(view, parseTaskName(task)) : [task];
	return checkpoint === '' || savers.some(saver => getTask(view, saver).checkpoints.has(checkpoint)) ? undefined : `from ${checkpoint}`;
};

const checkRefused: StartCheck = ({job}) => job.openSubmissions === 0 ? 'all submissions were rejected' : undefined;

const checkCancelled: StartCheck = ({job: {cancelledAtMs}, start, nowMs, limits}) =>
	cancelledAtMs !== undefined && !start.isLate && nowMs - cancelledAtMs > limits.cancelMs ? `cancelled for ${Math.round(nowMs - cancelledAtMs)} ms` : undefined;

const checkDraining: StartCheck = ({minion: {drainingSinceMs}, start, nowMs, limits}) =>
	drainingSinceMs !== undefined && !start.isLate && nowMs - drainingSinceMs > limits.drainMs ? `draining for ${Math.round(nowMs - drainingSinceMs)} ms` : undefined;

const checkAttempts: StartCheck = context => {
	const {task: {failures, failedAtMs}, step, start, nowMs, limits} = context;
	const maximum = Math.max(...listQueues(context).map(({maximumAttempts}) => maximumAttempts));
	const isCounted = !step.isLasting && (!step.allowsCopies || (!start.isLate && nowMs - failedAtMs > limits.copyMs));
	return isCounted && failures >= maximum ? `${failures} attempts have failed` : undefined;
};

const checkCrashes: StartCheck = ({task: {startsAfterCrashes}}) =>
	startsAfterCrashes >= crashBudget ? `started ${startsAfterCrashes} times after ${crashBudget} minions had crashed under it` : undefined;

const listGangRuns = ({view, start, step}: StartContext) =>
	step.isGang ? listRuns(view).filter(({task}) => getStepName(task) === getStepName(start.task)) : [];

// A copy of a whole gang has a run of its own.
const checkGangRun: StartCheck = context => {
	const others = context.step.allowsCopies ? [] : listGangRuns(context).filter(({run}) => run !== context.start.run);
	return others.length > 0 ? `beside ${others.map(({task, run}) => `${task}#${run}`).join(', ')}` : undefined;
};

const checkGangCheckpoint: StartCheck = context => {
	const {start} = context;
	const others = listGangRuns(context).filter(({run, checkpoint}) => run === start.run && checkpoint !== start.checkpoint);
	return others.length > 0 ? `from "${start.checkpoint}", beside ${others.map(({task, checkpoint}) => `${task} from "${checkpoint}"`).join(', ')}` : undefined;
};

/** The checks of a start, by the promise that each keeps watch on. */
export const startChecks: ReadonlyArray<readonly [Rule, StartCheck]> = [
	['twice', checkTwice],
	['copies', checkCopies],
	['afterDone', checkDone],
	['order', checkOrder],
	['early', checkDue],
	['room', checkRoom],
	['spread', checkSpread],
	['teamMaximum', checkTeamMaximum],
	['label', checkLabel],
	['pool', checkPool],
	['ticket', checkTicket],
	['unasked', checkPayload],
	['checkpoint', checkCheckpoint],
	['refused', checkRefused],
	['afterCancel', checkCancelled],
	['draining', checkDraining],
	['attempts', checkAttempts],
	['crashBudget', checkCrashes],
	['gangRun', checkGangRun],
	['gangCheckpoint', checkGangCheckpoint],
];
