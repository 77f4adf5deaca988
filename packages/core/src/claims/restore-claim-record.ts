import * as z from 'zod/mini';
import type {ClaimRecord} from './types.js';

const ran = z.enum(['no', 'maybe', 'yes']);
const outcomeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('answered'), minion: z.string(), status: z.int()}),
	z.object({
		type: z.literal('refused'), reason: z.string(), ran, retryAfterMs: z.exactOptional(z.number()),
	}),
]);
const recordSchema = z.object({
	name: z.string(),
	bodyHash: z.string(),
	job: z.string(),
	claimer: z.string(),
	stage: z.discriminatedUnion('type', [
		z.object({type: z.literal('claimed')}),
		z.object({type: z.literal('started'), minion: z.string(), attempt: z.int()}),
		z.object({
			type: z.literal('finished'),
			outcome: outcomeSchema,
			answer: z.exactOptional(z.object({contentType: z.string(), bodyBase64: z.string()})),
		}),
		z.object({type: z.literal('lost')}),
	]),
	version: z.int(),
	epoch: z.exactOptional(z.int()),
	isFreed: z.exactOptional(z.boolean()),
	changedAtMs: z.number(),
});

/**
 * Parses a claim record, usually one that was read from disk.
 *
 * @returns The record; `undefined` when the value is not a claim record.
 */
export function restoreClaimRecord(document: unknown): ClaimRecord | undefined {
	const parsed = recordSchema.safeParse(document);
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema checks everything except the brands
	return parsed.success ? parsed.data as unknown as ClaimRecord : undefined;
}
