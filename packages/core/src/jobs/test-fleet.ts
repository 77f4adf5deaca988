/**
 * Builders of jobs, minions and events for tests and benchmarks.
 */
import {
	createSeededRandom,
	toBrand,
	type IdempotencyKey,
	type JobId,
	type MinionId,
	type MonotonicMs,
	type PoolId,
	type QueueId,
	type TeamId,
	type WorkerId,
} from '@samphiremill/common';
import {createDefaultJobsCfg} from './constants.js';
import {reduceJobs} from './reduce-jobs.js';
import {createJobsState, type JobsState} from './state.js';
import type {
	JobsCfg, JobsEffect, JobsEvent, JobSpec, PlaceableMinion,
} from './types.js';

/** Converts plain strings and numbers to branded ids and times. */
export const toJob = (id: string) => toBrand<JobId>(id);
export const toTeam = (id: string) => toBrand<TeamId>(id);
export const toPool = (id: string) => toBrand<PoolId>(id);
export const toQueue = (id: string) => toBrand<QueueId>(id);
export const toMinion = (id: string) => toBrand<MinionId>(id);
export const toWorker = (id: string) => toBrand<WorkerId>(id);
export const toKey = (id: string) => toBrand<IdempotencyKey>(id);
export const toMs = (ms: number) => toBrand<MonotonicMs>(ms);

/** Creates an idempotent ordinary job without a key, with the given changes. */
export function createSpec(changes: Partial<JobSpec> = {}): JobSpec {
	return {
		job: toJob('job-1'),
		queue: toQueue('cloths'),
		pool: toPool('counters'),
		team: toTeam('parish'),
		bodyHash: '00',
		isIdempotent: true,
		urgency: 'ordinary',
		submittedAtMs: toMs(0),
		deadlineAtMs: toMs(30_000),
		...changes,
	};
}

/** Creates a minion with eight free slots, with the given changes. */
export function createMinion(changes: Partial<PlaceableMinion> = {}): PlaceableMinion {
	return {
		minion: toMinion('minion-1'),
		incarnation: 1,
		worker: toWorker('worker-1'),
		pool: toPool('counters'),
		rack: 'rack-1',
		cores: 32,
		memoryMb: 131_072,
		heldSlots: 8,
		connections: 64,
		isAcceptingWork: true,
		...changes,
	};
}

/** An event without its time. */
export type TimelessEvent<Event = JobsEvent> = Event extends JobsEvent ? Omit<Event, 'nowMs'> : never;

/** The jobs of one node, with a manual clock. */
export type TestNode = {
	readonly getState: () => JobsState;
	/** Applies an event at the current time and returns its effects. */
	readonly send: (event: TimelessEvent) => readonly JobsEffect[];
	/** Advances the clock by a number of milliseconds, without a tick. */
	readonly advance: (durationMs: number) => void;
	readonly getNowMs: () => number;
};

/**
 * Creates a node with an empty state at time 0 and a seeded random source.
 *
 * @param changes - Changes to the default configuration.
 */
export function createTestNode(changes: Partial<JobsCfg> = {}): TestNode {
	const cfg = {...createDefaultJobsCfg(createSeededRandom(1)), ...changes};
	let state = createJobsState();
	let nowMs = 0;
	return {
		getState: () => state,
		send(event) {
			const step = reduceJobs(state, {...event, nowMs: toMs(nowMs)}, cfg);
			state = step.state;
			return step.effects;
		},
		advance(durationMs) {
			nowMs += durationMs;
		},
		getNowMs: () => nowMs,
	};
}
