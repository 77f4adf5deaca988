/**
 * Explains why a waiting task was not placed: how many minions refuse it, and for which reason.
 */
import {getStep, getStepProgress} from './ledger.js';
import {
	createMinionCapacity, createTaskContext, findPlacementGate, hasCapacity,
	type GetAwaitedMinion, type IsAllowed, type GetWaitMs, type MinionCapacity, type PlacementGate, type StepContext, type UsableMinion,
} from './minion-capacity.js';
import {hasTeamRoom} from './run-limits.js';
import type {Ledger, Task} from './types.js';

/** A waiting task, and the minions of its pool that may be given work. */
export type RefusalQuery = {
	readonly ledger: Ledger;
	readonly task: Task;
	readonly minions: readonly UsableMinion[];
	readonly isAllowed: IsAllowed;
	readonly getWaitMs: GetWaitMs;
	readonly getAwaitedMinion?: GetAwaitedMinion | undefined;
};

/** Why no minion takes a task. */
export type PlacementRefusals = {
	/** The number of minions by the first reason that each of them has. */
	readonly refusals: Partial<Record<PlacementGate, number>>;
	/** How many minions could take the task. */
	readonly acceptCount: number;
	/** Whether the task would exceed the maximum of its team. */
	readonly isTeamAtMaximum: boolean;
};

const findGate = (stepContext: StepContext, capacity: MinionCapacity, query: RefusalQuery): PlacementGate | undefined => {
	if (!stepContext.step.isLasting && capacity.runsLeft <= 0) {
		return 'health';
	}

	return hasCapacity(capacity, stepContext) ? findPlacementGate(stepContext, capacity, query) : 'capacity';
};

/** Counts the minions that refuse a task, by reason. Returns `undefined` if the job has ended. */
export function countRefusals(query: RefusalQuery): PlacementRefusals | undefined {
	const {ledger, task, minions} = query;
	const progress = getStepProgress(task);
	if (progress === undefined) {
		return undefined;
	}

	const stepContext = createTaskContext(task, progress);
	const refusals: Partial<Record<PlacementGate, number>> = {};
	let acceptCount = 0;
	for (const minion of minions) {
		const gate = findGate(stepContext, createMinionCapacity(ledger, minion), query);
		if (gate === undefined) {
			acceptCount += 1;
		} else {
			refusals[gate] = (refusals[gate] ?? 0) + 1;
		}
	}

	return {refusals, acceptCount, isTeamAtMaximum: !hasTeamRoom(ledger, task, getStep(task))};
}
