import {
	createFailure, createSuccess, type Finding, type Result, type WorkerId,
} from '@samphiremill/common';
import * as z from 'zod/mini';
import type {HostMove, MovesState} from './types.js';

/** @returns The state in which no host moves. */
export function createMovesState(): MovesState {
	return {moves: []};
}

/**
 * @param state - All moves.
 * @param worker - A host.
 * @returns The host's move, where it is on its way.
 */
export function findMove(state: MovesState, worker: WorkerId): HostMove | undefined {
	return state.moves.find(move => move.worker === worker);
}

/**
 * @param state - All moves.
 * @param worker - A host.
 * @returns The state without the host's move.
 */
export function removeMove(state: MovesState, worker: WorkerId): MovesState {
	return {moves: state.moves.filter(move => move.worker !== worker)};
}

/**
 * @param state - All moves.
 * @param next - One move, new or changed.
 * @returns The state with that move.
 */
export function putMove(state: MovesState, next: HostMove): MovesState {
	return {
		moves: [...removeMove(state, next.worker).moves, next]
			.toSorted((left, right) => left.worker < right.worker ? -1 : 1),
	};
}

const id = z.string().check(z.minLength(1));
const stateSchema = z.object({
	moves: z._default(z.array(z.object({
		worker: id,
		epoch: z.int().check(z.minimum(0)),
		from: id,
		to: id,
		reason: z._default(z.enum(['lend', 'takeBack', 'rehome']), 'rehome'),
		isDrained: z._default(z.boolean(), false),
		entryHosts: z.array(id),
		startedAtMs: z.number(),
	})), []),
});

/**
 * Takes the state of a snapshot, of this version or an older one, to valid current state.
 *
 * @param data - What a snapshot holds; `undefined` where it was written before there were moves.
 * @returns The state, or every finding with its place.
 */
export function restoreMovesState(data: unknown): Result<MovesState, readonly Finding[]> {
	if (data === undefined) {
		return createSuccess(createMovesState());
	}

	const parsed = stateSchema.safeParse(data);
	if (parsed.success) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema has checked all but the brands
		return createSuccess(parsed.data as unknown as MovesState);
	}

	return createFailure(parsed.error.issues.map(({path, message}) => ({
		path: path.map(part => `/${String(part)}`).join(''),
		message,
	})));
}
