import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';

/** Why a body could not be read completely. */
export type ReadBodyError
	= | {readonly type: 'tooLarge'; readonly maximumBytes: number}
		| {readonly type: 'truncated'}
		| {readonly type: 'budgetFull'};

/** Budget for the request bodies that this process holds in memory at once, in bytes. */
export type BodyBudget = {
	/** Reserves bytes if the budget allows it, and returns whether it did. */
	readonly reserve: (bytes: number) => boolean;
	readonly release: (bytes: number) => void;
	readonly getUsedBytes: () => number;
};

/** Creates a budget with nothing reserved. */
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
 * Reads a request's complete body, up to a limit and within the process's budget. On success the body's
 * length stays reserved in the budget, and the caller must release it. On failure nothing stays reserved.
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
