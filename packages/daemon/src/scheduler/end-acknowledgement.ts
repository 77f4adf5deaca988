/**
 * Decides up to which number the ends that a minion lists are acknowledged. The minion then drops all of them, also
 * those that it has not listed yet, so a number must not be taken from a row that may be false.
 */
import type {FinishedEntry} from './types.js';

/** A question about the end of a run that an incarnation lists. */
export type EndCheck = (entry: FinishedEntry) => boolean;

/** The acknowledgement of the ends that one incarnation lists. */
export type EndAcknowledgement = {
	/**
	 * Returns the highest number that may be acknowledged once the ends of the listing are committed; 0 if none. The end of a
	 * run that is not known here counts only if the previous listing had the same row.
	 *
	 * @param isKnown - Whether the end is of a run that this incarnation had or has.
	 * @param isHeld - Whether the end must not be acknowledged yet, so that the ones after it must not be either.
	 */
	readonly review: (finished: readonly FinishedEntry[], isKnown: EndCheck, isHeld: EndCheck) => number;
	/** Records that the ends up to this number are committed. */
	readonly confirm: (number: number) => void;
	/** Returns the number up to which ends are acknowledged. */
	readonly getLastSeen: () => number;
};

const isSameRow = (left: FinishedEntry, right: FinishedEntry) => left.number === right.number && left.task === right.task && left.run === right.run;

export function createEndAcknowledgement(): EndAcknowledgement {
	let lastSeen = 0;
	let previous: readonly FinishedEntry[] = [];

	return {
		review(finished, isKnown, isHeld) {
			const before = previous;
			previous = finished;
			const firstHeld = Math.min(Number.POSITIVE_INFINITY, ...finished.filter(entry => isHeld(entry)).map(({number}) => number));
			return Math.max(0, ...finished
				.filter(entry => entry.number < firstHeld)
				.filter(entry => isKnown(entry) || before.some(other => isSameRow(other, entry)))
				.map(({number}) => number));
		},
		confirm(number) {
			lastSeen = Math.max(lastSeen, number);
		},
		getLastSeen: () => lastSeen,
	};
}
