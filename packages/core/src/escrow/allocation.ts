/** A holder's demand for a resource, and the amount that it is charged for. */
export type Claimant<Holder> = {
	readonly holder: Holder;
	readonly wanted: number;
	/** The maximum that the holder may be using, as far as its home knows. */
	readonly charged: number;
};

/** The amount of a resource that a holder should get. */
export type AllocationTarget<Holder> = Claimant<Holder> & {
	readonly amount: number;
};

function sumAmounts(targets: ReadonlyArray<{readonly amount: number}>): number {
	let sum = 0;
	for (const {amount} of targets) {
		sum += amount;
	}

	return sum;
}

/** Gives each holder below its cap an equal share of the amount, at least one unit while units are left. */
function allocateRound<Holder>(targets: ReadonlyArray<AllocationTarget<Holder>>, amount: number, getCap: (target: AllocationTarget<Holder>) => number): ReadonlyArray<AllocationTarget<Holder>> {
	const openCount = targets.filter(target => target.amount < getCap(target)).length;
	const each = Math.max(1, Math.floor(amount / Math.max(1, openCount)));
	let left = amount;
	return targets.map(target => {
		const given = Math.max(0, Math.min(each, left, getCap(target) - target.amount));
		left -= given;
		return given === 0 ? target : {...target, amount: target.amount + given};
	});
}

function allocateInRounds<Holder>(targets: ReadonlyArray<AllocationTarget<Holder>>, bound: number, getCap: (target: AllocationTarget<Holder>) => number): ReadonlyArray<AllocationTarget<Holder>> {
	let shared = targets;
	for (let left = bound - sumAmounts(shared); left > 0; left = bound - sumAmounts(shared)) {
		const next = allocateRound(shared, left, getCap);
		if (sumAmounts(next) === sumAmounts(shared)) {
			return shared;
		}

		shared = next;
	}

	return shared;
}

/**
 * Divides a bound between holders by max-min fairness over their demand. The rest is divided evenly, so
 * that each holder can start jobs without a request.
 *
 * @param claimants - The holders, in the order in which remainders are distributed.
 * @param bound - The number of units to divide.
 * @returns The amount for each holder. The sum does not exceed the bound.
 */
export function computeTargets<Holder>(claimants: ReadonlyArray<Claimant<Holder>>, bound: number): ReadonlyArray<AllocationTarget<Holder>> {
	const wanted = allocateInRounds(claimants.map(claimant => ({...claimant, amount: 0})), bound, target => target.wanted);
	return allocateInRounds(wanted, bound, () => Number.POSITIVE_INFINITY);
}
