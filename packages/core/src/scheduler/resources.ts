import type {MutableResources, Resources, StepSpecification} from './types.js';

/** @returns A count of resources that starts at nothing. */
export function createResources(): MutableResources {
	return {cpuMillicores: 0, memoryMb: 0, gpus: 0};
}

/**
 * Adds to a count in place.
 *
 * @param total - The count.
 * @param amount - What to add.
 * @param factor - How many times; negative to take away.
 */
export function addResources(total: MutableResources, amount: Resources, factor: number): void {
	total.cpuMillicores += amount.cpuMillicores * factor;
	total.memoryMb += amount.memoryMb * factor;
	total.gpus += amount.gpus * factor;
}

/**
 * @param step - A step.
 * @returns What one of its tasks takes of a minion's room. A filler takes no processor time of its own.
 */
export function getReservedResources(step: StepSpecification): Resources {
	return step.isFiller ? {...step.request, cpuMillicores: 0} : step.request;
}

/**
 * @param free - What is free.
 * @param wanted - What is wanted.
 * @returns Whether it fits.
 */
export function fitsInto(free: Resources, wanted: Resources): boolean {
	return wanted.cpuMillicores <= free.cpuMillicores
		&& wanted.memoryMb <= free.memoryMb
		&& wanted.gpus <= free.gpus;
}

/**
 * @param capacity - The whole.
 * @param used - What is taken of it.
 * @returns What is left.
 */
export function subtractResources(capacity: Resources, used: Resources): Resources {
	return {
		cpuMillicores: capacity.cpuMillicores - used.cpuMillicores,
		memoryMb: capacity.memoryMb - used.memoryMb,
		gpus: capacity.gpus - used.gpus,
	};
}
