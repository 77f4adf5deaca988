/**
 * Schemas of records in the internal form. `samphiremill/v2` documents have the same fields.
 */
import * as z from 'zod/mini';
import {
	count, dataCentreId, displayText, keyId, poolId, positive, queueId, rackId, secretHash, teamId, uniqueList, waveId, workerId,
} from './fields.js';

const defaultMaximumBodyBytes = 65_536;
const defaultDeadlineMs = 30_000;

export const poolFields = {
	kind: z.literal('pool'),
	id: poolId,
	maximumUnavailableHosts: count,
	isSpare: z._default(z.boolean(), false),
};

export const teamFields = {
	kind: z.literal('team'),
	id: teamId,
	displayName: displayText,
};

export const shareFields = {
	kind: z.literal('share'),
	id: teamId,
	weight: z.number().check(z.positive(), z.maximum(1_000_000)),
};

export const limitFields = {
	kind: z.literal('limit'),
	id: teamId,
	maximumRunningJobs: count,
};

export const keyFields = {
	kind: z.literal('key'),
	id: keyId,
	team: teamId,
	secretHash,
};

export const queueFields = {
	kind: z.literal('queue'),
	id: queueId,
	pool: poolId,
	access: z._default(z.enum(['open', 'keyed']), 'keyed'),
	maximumBodyBytes: z._default(positive, defaultMaximumBodyBytes),
	defaultDeadlineMs: z._default(positive, defaultDeadlineMs),
};

export const workerFields = {
	kind: z.literal('worker'),
	id: workerId,
	dataCentre: dataCentreId,
	rack: rackId,
	cores: positive,
	memoryMb: positive,
	accelerators: z._default(count, 0),
	homePool: poolId,
};

export const waveFields = {
	kind: z.literal('wave'),
	id: waveId,
	pools: uniqueList(poolId).check(z.minLength(1)),
	workers: z.exactOptional(uniqueList(workerId)),
	desired: z.enum(['running', 'paused', 'aborted']),
	maximumHostsAside: positive,
};

/** The schema of a stored record. Unknown fields are dropped, since a newer version may have written them. */
export const storedRecord = z.discriminatedUnion('kind', [
	z.object(poolFields),
	z.object(teamFields),
	z.object(shareFields),
	z.object(limitFields),
	z.object(keyFields),
	z.object(queueFields),
	z.object(workerFields),
	z.object(waveFields),
]);
