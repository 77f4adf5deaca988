import type {MutableResources, Resources, StepSpecification} from './types.js';

/** Creates an amount of zero that can be added to. */
export function createResources(): MutableResources {
	return {cpuMillicores: 0, memoryMb: 0, gpus: 0};
}

/**
 * Adds an amount to a total, in place.
 *
 * @param factor - Multiplies the amount; negative to subtract.
 */
export function addResources(total: MutableResources, amount: Resources, factor: number): void {
	total.cpuMillicores += amount.cpuMillicores * factor;
	total.memoryMb += amount.memoryMb * factor;
	total.gpus += amount.gpus * factor;
}

/** Returns the resources that one task of a step reserves on a minion. A filler reserves no processor time. */
export function getReservedResources(step: StepSpecification): Resources {
	return step.isFiller ? {...step.request, cpuMillicores: 0} : step.request;
}

/** Returns whether the wanted resources fit into the free ones. */
export function fitsInto(free: Resources, wanted: Resources): boolean {
	return wanted.cpuMillicores <= free.cpuMillicores
		&& wanted.memoryMb <= free.memoryMb
		&& wanted.gpus <= free.gpus;
}

/** Returns whether two amounts are the same in each resource. */
export function isSameAmount(left: Resources, right: Resources): boolean {
	return fitsInto(left, right) && fitsInto(right, left);
}

/** Returns the capacity that is left. */
export function subtractResources(capacity: Resources, used: Resources): Resources {
	return {
		cpuMillicores: capacity.cpuMillicores - used.cpuMillicores,
		memoryMb: capacity.memoryMb - used.memoryMb,
		gpus: capacity.gpus - used.gpus,
	};
}
