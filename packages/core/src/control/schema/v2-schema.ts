/**
 * The schema of `samphiremill/v2` documents: a record with `apiVersion` and `metadata`. Metadata is returned
 * by reads and ignored by writes, so that a client can edit a document that it read and write it back.
 */
import * as z from 'zod/mini';
import {
	keyFields, limitFields, poolFields, queueFields, shareFields, teamFields, waveFields, workerFields,
} from './record-schema.js';

/** The current schema version. */
export const apiVersion2 = 'samphiremill/v2';

const envelope = {
	apiVersion: z.literal(apiVersion2),
	metadata: z.exactOptional(z.unknown()),
};

/** The schema of a `samphiremill/v2` document. Unknown fields are errors. */
export const v2Schema = z.discriminatedUnion('kind', [
	z.strictObject({...envelope, ...poolFields}),
	z.strictObject({...envelope, ...teamFields}),
	z.strictObject({...envelope, ...shareFields}),
	z.strictObject({...envelope, ...limitFields}),
	z.strictObject({...envelope, ...keyFields}),
	z.strictObject({...envelope, ...queueFields}),
	z.strictObject({...envelope, ...workerFields}),
	z.strictObject({...envelope, ...waveFields}),
]);
