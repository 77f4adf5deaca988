/**
 * Power of k choices over the minions with a free slot: a few are drawn at random, and the best of them gets the job.
 * If none of them is suitable, all minions are compared.
 */
import type {MinionId, RandomSource} from '@samphiremill/common';
import {getItemAt, getItemCount, type SortedSet} from '../collections/sorted-set.js';
import type {Candidate, PlacementChoice, PlacementRequest} from './types.js';

/** Each job of the team in the same rack costs as much as this share of a minion's slots in use. */
const rackUseWeight = 0.05;
/** Each consecutive failure costs as much as this share of a minion's slots in use. */
const failureWeight = 0.25;
/** Ranks a worker on which the job has failed behind every other worker. */
const avoidedWeight = 1000;

function hasCapacity({freeCores, freeMemoryMb}: Candidate, {size}: PlacementRequest): boolean {
	return size.cores <= freeCores && size.memoryMb <= freeMemoryMb;
}

function getCost(candidate: Candidate, req: PlacementRequest): number {
	return (candidate.usedSlots / candidate.heldSlots)
		+ (req.getTeamUsageOfRack(candidate.rack) * rackUseWeight)
		+ (candidate.failuresInRow * failureWeight)
		+ (req.avoidedWorkers.includes(candidate.worker) ? avoidedWeight : 0);
}

function drawIndexes(count: number, choices: number, random: RandomSource): readonly number[] {
	if (count <= choices) {
		return Array.from({length: count}, (_, index) => index);
	}

	const drawn: number[] = [];
	// Floyd's sampling: every set of distinct indexes is equally likely, and no draw is rejected.
	for (let last = count - choices; last < count; last += 1) {
		const index = Math.floor(random() * (last + 1));
		drawn.push(drawn.includes(index) ? last : index);
	}

	return drawn;
}

function getCheapest(candidates: readonly Candidate[], req: PlacementRequest): Candidate | undefined {
	let best: Candidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = hasCapacity(candidate, req) ? getCost(candidate, req) : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/**
 * Chooses a minion for a job. Returns `undefined` if no minion has the capacity.
 *
 * @param options - `ready` holds the minions with a free slot; `choices` is how many of them are drawn.
 */
export function chooseMinion(options: {
	readonly ready: SortedSet<MinionId>;
	readonly getCandidate: (minion: MinionId) => Candidate | undefined;
	readonly request: PlacementRequest;
	readonly choices: number;
	readonly random: RandomSource;
}): PlacementChoice | undefined {
	const {ready, getCandidate, request, choices, random} = options;
	const count = getItemCount(ready);
	const getCandidates = (indexes: readonly number[]) => indexes
		.map(index => getItemAt(ready, index))
		.map(minion => minion === undefined ? undefined : getCandidate(minion))
		.filter(candidate => candidate !== undefined);

	const drawn = getCandidates(drawIndexes(count, choices, random));
	const best = getCheapest(drawn, request);
	const isAvoided = best !== undefined && request.avoidedWorkers.includes(best.worker);
	if ((best !== undefined && !isAvoided) || count <= choices) {
		return best && {candidate: best, compared: drawn.length};
	}

	const all = getCandidates(Array.from({length: count}, (_, index) => index));
	const bestOfAll = getCheapest(all, request);
	return bestOfAll && {candidate: bestOfAll, compared: all.length};
}
