import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createFailure, createSuccess, toBrand, type Result, type TeamId,
} from '@samphiremill/common';
import {findKeyBySecretHash, type QueueRecord} from '@samphiremill/core';
import type {Runtime} from '../../runtime/types.js';
import type {Problem} from '../types.js';

/** The team to which jobs without a key are charged. */
export const openTeam = toBrand<TeamId>('open');

const staleRetryAfterMs = 2000;
const bearerPattern = /^Bearer +(?<secret>[\u0021-\u007E]{1,512})$/iv;

const hashSecret = (secret: string): string => createHash('sha256').update(secret).digest('hex');

const isSameHash = (left: string, right: string): boolean =>
	left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

const keyNotAccepted: Problem = {
	status: 401, title: 'The key is not accepted', reason: 'keyNotAccepted', ran: 'no',
};

/**
 * Finds the team to which a job is charged. Keys are accepted only while this host's records are confirmed
 * as current, because a key that was revoked through another host must not work here.
 */
export function authorizeTeam({runtime, queue, authorization}: {
	readonly runtime: Runtime;
	readonly queue: QueueRecord;
	readonly authorization: string | undefined;
}): Result<TeamId, Problem> {
	if (queue.access === 'open' && authorization === undefined) {
		return createSuccess(openTeam);
	}

	if (runtime.getFreshness() !== 'fresh') {
		return createFailure({
			status: 503,
			title: 'This entry host cannot confirm which keys are in force',
			reason: 'configurationStale',
			ran: 'no',
			retryAfterMs: staleRetryAfterMs,
		});
	}

	const secret = bearerPattern.exec(authorization ?? '')?.groups?.secret;
	if (secret === undefined) {
		return createFailure(keyNotAccepted);
	}

	const secretHash = hashSecret(secret);
	const key = findKeyBySecretHash(runtime.getControl(), secretHash);
	return key !== undefined && isSameHash(key.secretHash, secretHash)
		? createSuccess(key.team)
		: createFailure(keyNotAccepted);
}
