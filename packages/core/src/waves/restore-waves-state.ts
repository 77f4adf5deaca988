import {
	createFailure, createSuccess, type Finding, type Result,
} from '@samphiremill/common';
import * as z from 'zod/mini';
import {createWavesState} from './waves-state.js';
import type {WavesState} from './types.js';

const id = z.string().check(z.minLength(1));
const timeMs = z.number();

const hostSchema = z.object({
	worker: id,
	phase: z.enum(['pending', 'granted', 'draining', 'rebooting', 'returned', 'failed', 'removed']),
	attempt: z.int().check(z.minimum(0)),
	changedAtMs: timeMs,
	grantedAtMs: z.optional(timeMs),
	isRebootAccepted: z._default(z.boolean(), false),
	failure: z.optional(z.enum(['rebootRefused', 'rebootTimeout', 'relapsed'])),
});

const pauseSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('operator')}),
	z.object({
		type: z.literal('correlatedFailure'),
		workers: z.array(id),
		rack: z.optional(id),
		dataCentre: z.optional(id),
	}),
]);

const waveSchema = z.object({
	wave: id,
	phase: z.enum(['running', 'paused', 'aborting', 'completed', 'aborted']),
	startedAtMs: timeMs,
	endedAtMs: z.optional(timeMs),
	recordRevision: z.int().check(z.minimum(0)),
	pause: z.optional(pauseSchema),
	hosts: z.array(hostSchema),
	recentResults: z._default(z.array(z.object({worker: id, isFailure: z.boolean()})), []),
});

const stateSchema = z.object({
	waves: z._default(z.array(waveSchema), []),
	unavailable: z._default(z.array(z.object({worker: id, condition: z.enum(['silent', 'unknown'])})), []),
	observationRevision: z._default(z.int().check(z.minimum(0)), 0),
});

/**
 * Validates the waves of a snapshot of this or an older version, and converts them to the current form.
 *
 * @param data - The waves of the snapshot; `undefined` when its version had no waves.
 * @returns The state, or every finding with its path.
 */
export function restoreWavesState(data: unknown): Result<WavesState, readonly Finding[]> {
	if (data === undefined) {
		return createSuccess(createWavesState());
	}

	const parsed = stateSchema.safeParse(data);
	if (parsed.success) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema checks everything except the brands
		return createSuccess(parsed.data as unknown as WavesState);
	}

	return createFailure(parsed.error.issues.map(({path, message}) => ({
		path: path.map(part => `/${String(part)}`).join(''),
		message,
	})));
}
