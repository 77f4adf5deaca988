/**
 * `samphiremill/v1` documents, which older ledgers still send. A team holds its share and limit
 * inline, a wave has one pool, sizes are in whole kilobytes, gigabytes and seconds.
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

/** A pool, whose budget is called `maxDown`. */
export const v1Pool = z.strictObject({
	...envelope, kind: z.literal('pool'), name: poolId, maxDown: count,
});

/** A team with its share and, unless it has none, its limit. */
export const v1Team = z.strictObject({
	...envelope,
	kind: z.literal('team'),
	name: teamId,
	title: displayText,
	share: z._default(positive, 1),
	limit: z.exactOptional(count),
});

/** A key. */
export const v1Key = z.strictObject({
	...envelope, kind: z.literal('key'), name: keyId, team: teamId, secretHash,
});

/** A queue, which always needs a key. */
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

/** A wave over one whole pool. */
export const v1Wave = z.strictObject({
	...envelope, kind: z.literal('wave'), name: waveId, pool: poolId, state: z.enum(['running', 'stopped']), maxHosts: positive,
});

/** Reads one `samphiremill/v1` document; unknown fields are findings. */
export const v1Schema = z.discriminatedUnion('kind', [v1Pool, v1Team, v1Key, v1Queue, v1Worker, v1Wave]);

/** Any `samphiremill/v1` document. */
export type V1Document = z.infer<typeof v1Schema>;

/** The kinds that the older schema version knows. */
export type V1Kind = V1Document['kind'];
