import {expect, test} from 'vitest';
import {startTestWorld} from './test-world.js';

/** Shorter than the second that a minion waits for its answer, and far shorter than a lease. */
const answerBoundMs = 950;

// Incident 77: a leaving minion whose process listened no more had its confirmation only once the lease on its tasks was over, after 3 s and up to 6 s.
test.each([1, 2, 3, 4])('the leave of a minion that listens no more is confirmed at once, and its tasks start elsewhere once its lease is over (seed %i)', async seed => {
	const world = await startTestWorld({seed, minionCount: 4});
	const {id} = world.submit([{count: 8, isLasting: true}]);
	await world.advance(4000);
	expect(world.countRuns(id)).toBe(8);
	let answer: string | undefined = 'none yet';
	void world.leaveUnlistening(0, 12_000).then(type => {
		answer = type;
	});
	await world.advance(answerBoundMs);
	expect(answer).toBe('done');
	await world.advance(9000);
	expect(world.countRuns(id)).toBe(8);
	expect(world.listViolations()).toEqual([]);
});
