/** Schemas of the items in a snapshot of the control state. */
import {toBrand, type ChangeId} from '@samphiremill/common';
import * as z from 'zod/mini';
import {
	changeId, count, dataCentreId, nodeId, poolId, positive, wallClockMs, workerId,
} from '../schema/fields.js';
import {storedRecord} from '../schema/record-schema.js';
import {recordKinds} from '../constants.js';

const kind = z.enum(recordKinds);

const origin = {
	revision: positive,
	changedAtMs: wallClockMs,
	changedBy: z.string(),
	changeId: z._default(changeId, toBrand<ChangeId>('unknown')),
};

export const storedVersionedRecord = z.object({record: storedRecord, ...origin});

export const storedHistory = z.object({
	kind,
	id: z.string(),
	entries: z.array(z.object({...origin, record: z.exactOptional(storedRecord)})),
});

export const storedDeletion = z.object({kind, id: z.string(), revision: positive});

const finding = z.object({path: z.string(), message: z.string()});

const answer = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('accepted'),
		changes: z.array(z.object({
			kind, id: z.string(), revision: count, outcome: z.enum(['created', 'updated', 'unchanged', 'deleted']),
		})),
	}),
	z.object({
		type: z.literal('conflict'),
		conflicts: z.array(z.object({
			kind, id: z.string(), expectedRevision: count, current: z.exactOptional(storedVersionedRecord),
		})),
	}),
	z.object({type: z.literal('invalid'), findings: z.array(finding)}),
	z.object({type: z.literal('notFound'), kind, id: z.string()}),
]);

export const storedChange = z.object({changeId, fingerprint: z.string(), answer});

export const storedOwnership = z.object({
	worker: workerId,
	epoch: positive,
	phase: z.discriminatedUnion('type', [
		z.object({type: z.literal('member'), pool: poolId}),
		z.object({type: z.literal('releasing'), pool: poolId, to: poolId}),
	]),
});

export const storedView = z.object({dataCentre: dataCentreId, epoch: positive, members: z.array(nodeId)});
