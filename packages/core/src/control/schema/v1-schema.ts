/**
 * Schemas of `samphiremill/v1` documents, which older clients still send. A team includes its share and
 * limit, a wave has exactly one pool, and values are in whole kilobytes, gigabytes and seconds.
 */
import * as z from 'zod/mini';
import {
	count, dataCentreId, displayText, keyId, poolId, positive, queueId, rackId, secretHash, teamId, waveId, workerId,
} from './fields.js';

/** The older schema version. */
export const apiVersion1 = 'samphiremill/v1';

const envelope = {
	apiVersion: z.literal(apiVersion1),
	metadata: z.exactOptional(z.unknown()),
};

/** A pool. `maxDown` is its `maximumUnavailableHosts`. */
export const v1Pool = z.strictObject({
	...envelope, kind: z.literal('pool'), name: poolId, maxDown: count,
});

/** A team with its share and, if it has one, its limit. */
export const v1Team = z.strictObject({
	...envelope,
	kind: z.literal('team'),
	name: teamId,
	title: displayText,
	share: z._default(positive, 1),
	limit: z.exactOptional(count),
});

export const v1Key = z.strictObject({
	...envelope, kind: z.literal('key'), name: keyId, team: teamId, secretHash,
});

/** A queue. It has no `access`, so a new queue requires a key. */
export const v1Queue = z.strictObject({
	...envelope, kind: z.literal('queue'), name: queueId, pool: poolId, maxBodyKb: positive, timeoutSeconds: positive,
});

/** A worker without accelerators. */
export const v1Worker = z.strictObject({
	...envelope,
	kind: z.literal('worker'),
	name: workerId,
	dataCentre: dataCentreId,
	rack: rackId,
	cores: positive,
	memoryGb: positive,
	pool: poolId,
});

/** A wave over all hosts of one pool. */
export const v1Wave = z.strictObject({
	...envelope, kind: z.literal('wave'), name: waveId, pool: poolId, state: z.enum(['running', 'stopped']), maxHosts: positive,
});

/** The schema of a `samphiremill/v1` document. Unknown fields are errors. */
export const v1Schema = z.discriminatedUnion('kind', [v1Pool, v1Team, v1Key, v1Queue, v1Worker, v1Wave]);

export type V1Document = z.infer<typeof v1Schema>;

/** A document kind of the older schema version. */
export type V1Kind = V1Document['kind'];
