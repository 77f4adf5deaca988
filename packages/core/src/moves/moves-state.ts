import {
	createFailure, createSuccess, type Finding, type Result, type WorkerId,
} from '@samphiremill/common';
import * as z from 'zod/mini';
import type {HostMove, MovesState} from './types.js';

/** Creates the state in which no host moves. */
export function createMovesState(): MovesState {
	return {moves: []};
}

/**
 * Finds the move of a host.
 *
 * @returns The move; `undefined` when the host is not moving.
 */
export function findMove(state: MovesState, worker: WorkerId): HostMove | undefined {
	return state.moves.find(move => move.worker === worker);
}

/** Removes the move of a host from the state. */
export function removeMove(state: MovesState, worker: WorkerId): MovesState {
	return {moves: state.moves.filter(move => move.worker !== worker)};
}

/** Inserts a move into the state, or replaces the move of the same host. */
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
 * Validates the moves of a snapshot of this or an older version, and converts them to the current form.
 *
 * @param data - The moves of the snapshot; `undefined` when its version had no moves.
 * @returns The state, or every finding with its path.
 */
export function restoreMovesState(data: unknown): Result<MovesState, readonly Finding[]> {
	if (data === undefined) {
		return createSuccess(createMovesState());
	}

	const parsed = stateSchema.safeParse(data);
	if (parsed.success) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema checks everything except the brands
		return createSuccess(parsed.data as unknown as MovesState);
	}

	return createFailure(parsed.error.issues.map(({path, message}) => ({
		path: path.map(part => `/${String(part)}`).join(''),
		message,
	})));
}
