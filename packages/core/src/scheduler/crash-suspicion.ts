/**
 * Finds the task that crashes its minions. A crash takes down everything on the minion and names no culprit, so the tasks
 * that had just started there become suspects. The next starts of suspects are kept apart, one job a minion, until a run has
 * lasted longer than the lost one. A deadly task then crashes a minion on which it is the only suspect; the others are cleared.
 */
import {
	alikeRunMs, clearanceMarginMs, crashProofWaitMs, freshRunMs, shortRunMs, suddenRunMs,
} from './constants.js';
import type {RunLoss, Task} from './types.js';

// A minion that only fell silent may still run its tasks.
const isCounted = ({evidence}: RunLoss) => evidence !== 'silent';

const listCounted = (losses: readonly RunLoss[]) => losses.filter(loss => isCounted(loss));

const isFresh = ({ranMs}: RunLoss) => ranMs === undefined || ranMs <= freshRunMs;

/** Returns whether a run may have just started on a minion when it was lost. */
export function isSuddenLoss(runs: ReadonlyArray<{readonly ranMs: number | undefined}>): boolean {
	return runs.some(({ranMs}) => ranMs === undefined || ranMs <= suddenRunMs);
}

/** Returns whether a loss says something about its task: a run that had lasted for seconds did not crash its minion. */
export function isTelling({ranMs}: Pick<RunLoss, 'ranMs'>): boolean {
	return ranMs === undefined || ranMs <= shortRunMs;
}

/** Returns how long a run of a task must last to show that the task does not crash its minions. */
export function getClearanceMs(losses: readonly RunLoss[]): number {
	return Math.max(0, ...listCounted(losses).map(({ranMs}) => ranMs ?? freshRunMs)) + clearanceMarginMs;
}

/** Returns whether the next run of a task is kept apart from other suspects. */
export function isCrashSuspect({losses}: Pick<Task, 'losses'>): boolean {
	if (losses.length === 0) {
		return false;
	}

	const counted = listCounted(losses);
	const [first] = counted;
	return counted.length > 1 || (first !== undefined && isFresh(first) && !first.isShared);
}

/** Returns whether a suspect must not start at the same time as any other suspect of its pool, since their minions would be lost together again. */
export function isStartedAlone({losses}: Pick<Task, 'losses'>): boolean {
	const counted = listCounted(losses);
	return counted.length > 1 && counted.at(-1)?.isShared === true;
}

/**
 * Returns whether a suspect waits for the proof that its latest minion crashed. Without the wait it would crash one more.
 *
 * @param nowMs - The current time in milliseconds, on the clock of the losses. An earlier leader's clock may have been ahead of it.
 */
export function isAwaitingProof({losses}: Pick<Task, 'losses'>, nowMs: number): boolean {
	const latest = losses.at(-1);
	return latest?.evidence === 'refused' && Math.abs(nowMs - latest.atMs) < crashProofWaitMs && listCounted(losses).length > 1;
}

/**
 * Returns whether a task probably crashed the minion of its latest loss: it was a suspect before, and had not been cleared.
 *
 * @param earlier - The losses before the latest one.
 */
export function isProbableCause(earlier: readonly RunLoss[], {ranMs}: Pick<RunLoss, 'ranMs'>): boolean {
	return isCrashSuspect({losses: earlier}) && (ranMs === undefined || ranMs <= getClearanceMs(earlier));
}

const areAlike = (losses: readonly RunLoss[]) => {
	const ages = losses.flatMap(({ranMs}) => ranMs ?? []);
	return ages.length > 1 && Math.max(...ages) - Math.min(...ages) <= alikeRunMs;
};

/**
 * Returns whether a task is given up. Two crashes at once after its starts are enough if it was the only suspect at the latter.
 * While minions crash for other reasons too, or if the crashes came later after the starts, more have to point at it alone.
 *
 * @param options - Whether other minions crashed around that time with nothing just started there.
 */
export function shouldGiveUp(losses: readonly RunLoss[], {hasBackground}: {readonly hasBackground: boolean}): boolean {
	const own = losses.filter(({evidence, isShared}) => evidence === 'crashed' && !isShared);
	const alone = own.filter(loss => loss.isAlone);
	if (alone.length === 0 || alone.at(-1) !== losses.at(-1)) {
		return false;
	}

	const isPattern = own.every(loss => loss.ranMs !== undefined && isSuddenLoss([loss]));
	if (!hasBackground && isPattern && own.length > 1) {
		return true;
	}

	return alone.length > 2 || (alone.length > 1 && (!hasBackground || areAlike(alone)));
}
