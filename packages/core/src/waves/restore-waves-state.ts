import {
	createFailure, createSuccess, type Finding, type Result,
} from '@samphiremill/common';
import {z} from 'zod';
import {createWavesState} from './waves-state.js';
import type {WavesState} from './types.js';

const id = z.string().min(1);
const timeMs = z.number();

const hostSchema = z.object({
	worker: id,
	phase: z.enum(['pending', 'granted', 'draining', 'rebooting', 'returned', 'failed', 'removed']),
	attempt: z.number().int().min(0),
	changedAtMs: timeMs,
	grantedAtMs: timeMs.optional(),
	isRebootAccepted: z.boolean().default(false),
	failure: z.enum(['rebootRefused', 'rebootTimeout', 'relapsed']).optional(),
});

const pauseSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('operator')}),
	z.object({
		type: z.literal('correlatedFailure'),
		workers: z.array(id),
		rack: id.optional(),
		dataCentre: id.optional(),
	}),
]);

const waveSchema = z.object({
	wave: id,
	phase: z.enum(['running', 'paused', 'aborting', 'completed', 'aborted']),
	startedAtMs: timeMs,
	endedAtMs: timeMs.optional(),
	recordRevision: z.number().int().min(0),
	pause: pauseSchema.optional(),
	hosts: z.array(hostSchema),
	recentResults: z.array(z.object({worker: id, isFailure: z.boolean()})).default([]),
});

const stateSchema = z.object({
	waves: z.array(waveSchema).default([]),
	unavailable: z.array(z.object({worker: id, condition: z.enum(['silent', 'unknown'])})).default([]),
	observationRevision: z.number().int().min(0).default(0),
});

/**
 * Takes the state of a snapshot, of this version or an older one, to valid current state.
 *
 * @param data - What a snapshot holds; `undefined` where it was written before there were waves.
 * @returns The state, or every finding with its place.
 */
export function restoreWavesState(data: unknown): Result<WavesState, readonly Finding[]> {
	if (data === undefined) {
		return createSuccess(createWavesState());
	}

	const parsed = stateSchema.safeParse(data);
	if (parsed.success) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema has checked all but the brands
		return createSuccess(parsed.data as unknown as WavesState);
	}

	return createFailure(parsed.error.issues.map(({path, message}) => ({
		path: path.map(part => `/${String(part)}`).join(''),
		message,
	})));
}
