/**
 * `samphiremill/v2` documents: a record with its `apiVersion`, and metadata that reads carry and
 * writes ignore, so that what was read can be edited and written back.
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

/** Reads one `samphiremill/v2` document; unknown fields are findings. */
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
