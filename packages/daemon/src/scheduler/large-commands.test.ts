/** Commands whose size grows with the work: what they carry must reach the log, however much it is. */
import type {StepSpecification} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {maximumPendingStarts} from './start-limit.js';
import {createTestWorld, startTestWorld} from './test-world.js';
import type {MinionPort} from './types.js';

const tiny: Partial<StepSpecification> = {request: {cpuMillicores: 2, memoryMb: 1, gpus: 0}};

// No start is answered, so that only the plans and their commits are played.
const leaveStarts = (port: MinionPort): MinionPort => ({
	...port,
	start: async () => new Promise(() => {
		// Never answered.
	}),
});

// Guards against a plan that is too large for the log and is planned again for ever, so that nothing starts in any pool (LOST).
test('a plan with more starts than one command holds is committed, with a bounded number of starts under way on a minion', async () => {
	const world = await startTestWorld({seed: 61, alterPort: leaveStarts});
	const {id} = world.submit([{...tiny, count: 15_000}]);
	await world.advance(1000);
	expect(world.getLedger().jobs.get(id)?.runCount).toBe(4 * maximumPendingStarts);
});

// Guards against a bound on the starts under way that keeps the others from starting (LOST).
test('a job with more tasks than may start at a time on its minion is done, and one beside it, too', async () => {
	const world = await startTestWorld({seed: 64, minionCount: 1});
	const jobs = [world.submit([{...tiny, count: maximumPendingStarts + 200}]), world.submit([{...tiny, count: 2}])];
	await world.advance(4000);
	expect({states: jobs.map(({id}) => world.getState(id)), violations: world.listViolations()}).toEqual({states: ['completed', 'completed'], violations: []});
}, 60_000);

// Guards against gangs of which a part starts: their members are assigned in one command.
test('a gang of the largest size starts as a whole beside many other starts', async () => {
	const world = await startTestWorld({seed: 62, alterPort: leaveStarts});
	const single = world.submit([{...tiny, count: 700}]);
	const gang = world.submit([{...tiny, count: 512, isGang: true}]);
	await world.advance(500);
	const {jobs} = world.getLedger();
	expect([single, gang].map(({id}) => jobs.get(id)?.runCount)).toEqual([700, 512]);
});

const largeCheckpoint = 'x'.repeat(16_000);

const addCheckpoints = (port: MinionPort): MinionPort => ({
	...port,
	async hold(call) {
		const answer = await port.hold(call);
		return answer.type === 'answered' && answer.value !== 'fenced'
			? {...answer, value: {...answer.value, finished: answer.value.finished.map(end => ({...end, checkpoint: largeCheckpoint}))}}
			: answer;
	},
});

// Guards against ends that are too large for the log together and are listed again for ever, so that their tasks never start again (LOST).
test('the ends of one listing are recorded if they are more than one entry of the log holds', async () => {
	const world = createTestWorld({seed: 63, minionCount: 1, alterPort: addCheckpoints});
	await world.advance(1500);
	const {id} = world.submit([{
		count: 80, request: {cpuMillicores: 100, memoryMb: 1, gpus: 0}, isLasting: true, hasCheckpoints: true,
	}]);
	await world.advance(500);
	const before = world.countStarts();
	world.pauseLeader(9000);
	await world.advance(8990);
	await world.changeLeader();
	await world.advance(3000);
	expect({before, again: world.countStarts() - before, running: world.countRuns(id)}).toEqual({before: 80, again: 80, running: 80});
});
