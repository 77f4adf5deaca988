import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';

/** Why a body could not be read whole. */
export type ReadBodyError
	= | {readonly type: 'tooLarge'; readonly maximumBytes: number}
		| {readonly type: 'truncated'}
		| {readonly type: 'budgetFull'};

/** Bytes of bodies that this process may hold in memory at once. */
export type BodyBudget = {
	/** @returns Whether the bytes were reserved. */
	readonly reserve: (bytes: number) => boolean;
	readonly release: (bytes: number) => void;
	readonly getUsedBytes: () => number;
};

/**
 * @param maximumBytes - The most bytes of bodies to hold at once.
 * @returns A budget that counts what is reserved.
 */
export function createBodyBudget(maximumBytes: number): BodyBudget {
	let usedBytes = 0;
	return {
		reserve(bytes) {
			if (usedBytes + bytes > maximumBytes) {
				return false;
			}

			usedBytes += bytes;
			return true;
		},
		release(bytes) {
			usedBytes -= bytes;
		},
		getUsedBytes: () => usedBytes,
	};
}

/**
 * Reads a request's body whole, within a bound and the process's budget. What was reserved from the
 * budget stays reserved on success (the length of the body) and is released on failure.
 *
 * @param options - The request, the bound in bytes and the budget.
 * @returns The body, or why it could not be read.
 */
export async function readBody({req, maximumBytes, budget}: {
	readonly req: IncomingMessage;
	readonly maximumBytes: number;
	readonly budget: BodyBudget;
}): Promise<Result<Uint8Array, ReadBodyError>> {
	const declaredBytes = Number(req.headers['content-length'] ?? 0);
	if (declaredBytes > maximumBytes) {
		return createFailure({type: 'tooLarge', maximumBytes});
	}

	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	const fail = (err: ReadBodyError) => {
		budget.release(receivedBytes);
		return createFailure(err);
	};

	try {
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			if (receivedBytes + chunk.length > maximumBytes) {
				return fail({type: 'tooLarge', maximumBytes});
			}

			if (!budget.reserve(chunk.length)) {
				return fail({type: 'budgetFull'});
			}

			receivedBytes += chunk.length;
			chunks.push(chunk);
		}
	} catch {
		return fail({type: 'truncated'});
	}

	return createSuccess(Buffer.concat(chunks));
}
