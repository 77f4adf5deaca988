/**
 * Splits what grows with the work over several commands, so that each of them fits into an entry of the log by construction.
 */
import {
	maximumGangTasks, type RunAssignment, type RunEnd, type StartReport,
} from '@samphiremill/core';

/** Most runs that one command assigns. A gang is assigned in one command, so it must not be larger. */
export const maximumRunsPerCommand = maximumGangTasks;

/** Bytes up to which ends share a command. A single end takes less, whatever its checkpoint. */
export const maximumEndBytesPerCommand = 262_144;

/** Most bytes of the ids, numbers and words of one run as JSON: the longest name of a minion has 256 characters of up to three bytes. */
export const mostBytesPerRun = 1024;

/** Most bytes of a UTF-16 code unit in JSON. */
export const mostBytesPerCodeUnit = 6;

/** Most bytes of the key of a run as JSON. */
const mostBytesPerRunKey = 128;

/** Returns an upper bound for the bytes of a report on starts as JSON. */
export function getMostReportBytes(report: StartReport | undefined): number {
	return report === undefined ? 0 : (report.uncertain.length + 1) * mostBytesPerRunKey;
}

/** Returns an upper bound for the bytes of an end as JSON. */
export function getMostEndBytes({checkpoint}: Pick<RunEnd, 'checkpoint'>): number {
	return mostBytesPerRun + (checkpoint.length * mostBytesPerCodeUnit);
}

type Packing<Item> = {
	readonly getSize: (item: Item) => number;
	/** Size up to which items share a part. */
	readonly maximum: number;
};

// Keeps the order of the items; an item above the maximum has a part of its own.
const packInOrder = <Item>(items: readonly Item[], {getSize, maximum}: Packing<Item>): ReadonlyArray<readonly Item[]> => {
	const parts: Item[][] = [];
	let room = 0;
	for (const item of items) {
		const size = getSize(item);
		const part = parts.at(-1);
		if (part === undefined || size > room) {
			parts.push([item]);
			room = maximum - size;
		} else {
			part.push(item);
			room -= size;
		}
	}

	return parts;
};

/**
 * Splits the assignments of a plan into the commands that they are proposed with.
 *
 * @param runs - The assignments, in the order of the plan.
 * @param getGang - Returns what the members of a gang have in common; `undefined` for a run outside a gang.
 * @returns The assignments of each command. The members of a gang are in the same one.
 */
export function splitAssignments(runs: readonly RunAssignment[], getGang: (assignment: RunAssignment) => string | undefined): ReadonlyArray<readonly RunAssignment[]> {
	if (runs.length <= maximumRunsPerCommand) {
		return [runs];
	}

	const gangs = new Map<string, RunAssignment[]>();
	const groups: RunAssignment[][] = [];
	for (const assignment of runs) {
		const gang = getGang(assignment);
		const known = gang === undefined ? undefined : gangs.get(gang);
		if (known !== undefined) {
			known.push(assignment);
			continue;
		}

		const group = [assignment];
		groups.push(group);
		if (gang !== undefined) {
			gangs.set(gang, group);
		}
	}

	return packInOrder(groups, {getSize: ({length}) => length, maximum: maximumRunsPerCommand}).map(part => part.flat());
}

/**
 * Splits the ends of runs into the commands that they are proposed with.
 *
 * @param ends - The ends, in any order.
 * @returns The ends of each command.
 */
export function splitEnds(ends: readonly RunEnd[]): ReadonlyArray<readonly RunEnd[]> {
	return packInOrder(ends, {getSize: getMostEndBytes, maximum: maximumEndBytesPerCommand});
}
