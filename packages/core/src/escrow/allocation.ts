/** What one holder wants of a resource and is charged for. */
export type Claimant<Holder> = {
	readonly holder: Holder;
	readonly wanted: number;
	/** The most that the holder may have in use as far as its home knows. */
	readonly charged: number;
};

/** How much of a resource a holder should have. */
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

/** Gives each holder one more unit, or as many as go round evenly, up to its cap. */
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
 * Divides a bound by max-min over what the holders want; what nobody wants is spread evenly, so that
 * each holder can start work without asking.
 *
 * @param claimants - The holders, in the order in which remainders are given out.
 * @param bound - How many units there are.
 * @returns Each holder with the amount that it should have; the amounts sum to the bound at most.
 */
export function computeTargets<Holder>(claimants: ReadonlyArray<Claimant<Holder>>, bound: number): ReadonlyArray<AllocationTarget<Holder>> {
	const wanted = allocateInRounds(claimants.map(claimant => ({...claimant, amount: 0})), bound, target => target.wanted);
	return allocateInRounds(wanted, bound, () => Number.POSITIVE_INFINITY);
}
