/** Schemas of fields shared by several record kinds and schema versions. */
import {
	toBrand, type ChangeId, type DataCentreId, type KeyId, type NodeId, type PoolId, type QueueId, type RackId,
	type TeamId, type WallClockMs, type WaveId, type WorkerId,
} from '@samphiremill/common';
import * as z from 'zod/mini';

const idText = z.string().check(z.regex(
	/^[a-z\d][a-z\d._\-]{0,62}$/v,
	'must be 1 to 63 lower-case letters, digits, dots, hyphens or underscores',
));

export const poolId = z.pipe(idText, z.transform(text => toBrand<PoolId>(text)));
export const teamId = z.pipe(idText, z.transform(text => toBrand<TeamId>(text)));
export const keyId = z.pipe(idText, z.transform(text => toBrand<KeyId>(text)));
export const queueId = z.pipe(idText, z.transform(text => toBrand<QueueId>(text)));
export const workerId = z.pipe(idText, z.transform(text => toBrand<WorkerId>(text)));
export const waveId = z.pipe(idText, z.transform(text => toBrand<WaveId>(text)));
export const rackId = z.pipe(idText, z.transform(text => toBrand<RackId>(text)));
export const dataCentreId = z.pipe(idText, z.transform(text => toBrand<DataCentreId>(text)));
export const nodeId = z.pipe(idText, z.transform(text => toBrand<NodeId>(text)));
export const changeId = z.pipe(z.string().check(z.minLength(1), z.maxLength(128)), z.transform(text => toBrand<ChangeId>(text)));
export const wallClockMs = z.pipe(z.number(), z.transform(value => toBrand<WallClockMs>(value)));

export const count = z.int().check(z.minimum(0));
export const positive = z.int().check(z.minimum(1));
export const displayText = z.string().check(z.minLength(1), z.maxLength(200));
export const secretHash = z.string().check(z.regex(/^[\da-f]{64}$/v, 'must be a SHA-256 in lower-case hexadecimal'));

/** Creates the schema of a list without duplicates. */
export function uniqueList<Item extends z.ZodMiniType<string, string>>(item: Item) {
	return z.array(item).check(z.refine(items => new Set(items).size === items.length, 'must not repeat an item'));
}
