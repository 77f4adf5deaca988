/**
 * Chooses the minion whose capacity is kept free for a long-running task that fits on none. Load pattern: a pool full of
 * smaller tasks, each of which frees less than the long-running task needs, and at once makes room for the next small one.
 */
import {findTask, getStep} from './ledger.js';
import {
	findPlacementGate, type GetAwaitedMinion, type GetWaitMs, type IsAllowed, type MinionCapacity, type StepContext,
} from './minion-capacity.js';
import {
	addResources, createResources, fitsInto, getReservedResources, subtractResources,
} from './resources.js';
import type {
	Ledger, MinionRecord, Resources, Task,
} from './types.js';

/** What the choice depends on besides the step and the minions. */
export type HoldQuery = {
	readonly ledger: Ledger;
	readonly task: Task;
	readonly isAllowed: IsAllowed;
	readonly getWaitMs: GetWaitMs;
	readonly getAwaitedMinion?: GetAwaitedMinion | undefined;
};

/** Returns what the long-running tasks on a minion leave of its capacity. The other runs end soon and make room. */
export function getCapacityBesideLongRunning(ledger: Ledger, {life, capacity}: MinionRecord): Resources {
	const used = createResources();
	for (const id of ledger.incarnations.get(life)?.runs.keys() ?? []) {
		const task = findTask(ledger, id);
		if (task !== undefined && getStep(task).isLasting) {
			addResources(used, getReservedResources(getStep(task)), 1);
		}
	}

	return subtractResources(capacity, used);
}

const getMissingShare = (free: number, required: number) => required === 0 ? 0 : (required - free) / required;

const getLargestMissingShare = (free: Resources, required: Resources) => Math.max(
	getMissingShare(free.cpuMillicores, required.cpuMillicores),
	getMissingShare(free.memoryMb, required.memoryMb),
	getMissingShare(free.gpus, required.gpus),
);

/** Returns the minion that lacks the least for the task and will have room for it once its shorter tasks have ended; `undefined` if there is none. */
export function findMinionToHold(stepContext: StepContext, capacities: readonly MinionCapacity[], query: HoldQuery): MinionCapacity | undefined {
	const {required} = stepContext;
	let best: MinionCapacity | undefined;
	let leastMissing = Number.POSITIVE_INFINITY;
	for (const capacity of capacities) {
		const missing = getLargestMissingShare(capacity.free, required);
		if (missing < leastMissing
			&& findPlacementGate(stepContext, capacity, query) === undefined
			&& fitsInto(getCapacityBesideLongRunning(query.ledger, capacity.minion.record), required)) {
			best = capacity;
			leastMissing = missing;
		}
	}

	return best;
}
