/**
 * Random jobs for histories that cross features: each member of a step is drawn independently of the others.
 */
import {toBrand, type RackId} from '@samphiremill/common';
import type {StepSpecification} from '@samphiremill/core';
import fc from 'fast-check';
import type {Repetition} from './test-world.js';

/** A job to submit. */
export type RandomJob = {
	readonly steps: ReadonlyArray<Partial<StepSpecification>>;
	readonly repetition: Repetition | undefined;
};

const maximumSteps = 3;

const drawRarely = <Value>(value: Value) => fc.constantFrom(undefined, undefined, undefined, value);

const request = fc.record({
	cpuMillicores: fc.constantFrom(500, 1000, 1000, 2000, 3000),
	memoryMb: fc.constantFrom(256, 512, 4096, 12_000),
	gpus: fc.constant(0),
});

const createStep = (index: number): fc.Arbitrary<Partial<StepSpecification>> => fc.record({
	count: fc.integer({min: 1, max: 6}),
	request,
	estimateMs: fc.constantFrom(300, 600, 3000),
	dependsOn: index === 0 ? fc.constant([]) : fc.subarray(Array.from({length: index}, (_, earlier) => earlier)),
	hasCheckpoints: fc.boolean(),
	isGang: fc.constantFrom(false, false, true),
	isRackLocal: fc.boolean(),
	requiredLabel: fc.constantFrom(undefined, undefined, 'kind-0', 'kind-1'),
	dataRack: fc.constantFrom(undefined, undefined, toBrand<RackId>('r0'), toBrand<RackId>('r1')),
	maximumPerMinion: fc.constantFrom(undefined, undefined, 1, 2),
	allowsCopies: fc.boolean(),
	isLasting: fc.constantFrom(false, false, false, true),
	image: fc.constantFrom('', 'a', 'b'),
	isFiller: fc.constantFrom(false, false, false, true),
	disruptionBudget: fc.constantFrom(undefined, undefined, 1, 2),
});

const steps = fc.integer({min: 1, max: maximumSteps}).chain(count => fc.tuple(...Array.from({length: count}, (_, index) => createStep(index))));

const repetition: fc.Arbitrary<Repetition> = fc.record({
	firstDueInMs: fc.integer({min: 0, max: 3000}),
	intervalMs: fc.constantFrom(50, 400, 2000),
	count: fc.integer({min: 1, max: 4}),
});

/** Draws a job. */
export const randomJobs: fc.Arbitrary<RandomJob> = fc.record({
	steps,
	repetition: repetition.chain(drawn => drawRarely(drawn)),
});
