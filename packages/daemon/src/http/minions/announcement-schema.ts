/**
 * Schema of the messages in which minions announce themselves.
 */
import {isIP} from 'node:net';
import * as z from 'zod/mini';

/** Most slots or connections of one minion: far above any machine, and sums over a fleet stay exact. */
const maximumSlots = 1_000_000;

/** Most resources of one task in a usage report: sums stay finite for as long as the process runs. */
export const maximumUsage = 1_000_000_000_000;

// An address with a zone, such as fe80::1%eth0, is valid only on the machine that sent it, and no part of a URL.
const isAddress = (text: string) => isIP(text) !== 0 && !text.includes('%');

/** A name without control characters and halves of surrogate pairs, which UTF-8 cannot hold. */
export const nameSchema = z.string().check(z.regex(/^[^\p{Cc}\p{Cs}]{1,128}$/v, 'must be a name of at most 128 characters'));

const positive = z.int().check(z.minimum(1), z.maximum(maximumSlots));

export const announcementSchema = z.strictObject({
	incarnation: z.int().check(z.minimum(0)),
	worker: nameSchema,
	pool: nameSchema,
	dataCentre: nameSchema,
	host: z.string().check(z.refine(isAddress, 'must be an IP number')),
	port: z.int().check(z.minimum(1), z.maximum(65_535)),
	slots: positive,
	connections: positive,
});
