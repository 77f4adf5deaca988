/**
 * Power of k choices over the minions with a free slot: a few are drawn at random, the best of
 * them gets the job. Where none of them has room, all are looked at.
 */
import type {MinionId, RandomSource} from '@samphiremill/common';
import {getItemAt, getItemCount, type SortedSet} from '../collections/sorted-set.js';
import type {Candidate, PlacementChoice, PlacementRequest} from './types.js';

/** One team's job more in a rack counts as much as this part of a minion's slots in use. */
const rackUseWeight = 0.05;
/** One failure in a row counts as much as this part of a minion's slots in use. */
const failureWeight = 0.25;
/** A worker on which the job has failed comes behind every other one. */
const avoidedWeight = 1000;

function hasRoom({freeCores, freeMemoryMb}: Candidate, {size}: PlacementRequest): boolean {
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
	// Floyd's sampling: each set of distinct indexes is equally likely, without rejected draws.
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
		const cost = hasRoom(candidate, req) ? getCost(candidate, req) : Number.POSITIVE_INFINITY;
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/**
 * @param options - The minions with a free slot, what is known of each, what the job needs, how
 * many to compare, and the source of chance.
 * @returns The choice, or `undefined` where no minion has room.
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
