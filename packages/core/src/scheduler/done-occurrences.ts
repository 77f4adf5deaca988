/**
 * The numbers of the occurrences of a scheduled job that are done. Most are done in order, so nearly all of them are held as
 * one number.
 */

/** Numbers of done occurrences. */
export type DoneOccurrences = {
	/** All occurrences before this one are done. */
	before: number;
	/** Others that are done. */
	readonly beyond: Set<number>;
};

/** The numbers in the form in which they are stored. */
export type SavedDoneOccurrences = {
	readonly before: number;
	readonly beyond: readonly number[];
};

/** Creates the set of a job of which no occurrence is done, or restores a saved one. */
export function createDoneOccurrences(saved?: SavedDoneOccurrences): DoneOccurrences {
	return {before: saved?.before ?? 0, beyond: new Set(saved?.beyond)};
}

/** Adds a done occurrence. */
export function addDoneOccurrence(done: DoneOccurrences, occurrence: number): void {
	if (occurrence >= done.before) {
		done.beyond.add(occurrence);
	}

	while (done.beyond.delete(done.before)) {
		done.before += 1;
	}
}

/** Returns whether an occurrence is done. */
export function isOccurrenceDone({before, beyond}: DoneOccurrences, occurrence: number): boolean {
	return occurrence < before || beyond.has(occurrence);
}

/** Counts the done occurrences. */
export function countDoneOccurrences({before, beyond}: DoneOccurrences): number {
	return before + beyond.size;
}

/** Returns the form in which the numbers are stored. */
export function saveDoneOccurrences({before, beyond}: DoneOccurrences): SavedDoneOccurrences {
	return {before, beyond: [...beyond]};
}
