/** Load pattern: callers give up while their submission is under way, and cancel it at another host. */
import {toBrand, type JobId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {otherTeamKey, startTestWorld} from './test-world.js';

const steps = [{estimateMs: 300}];
const cancelledBefore = {type: 'invalidRequest', message: 'the job was cancelled before it was accepted; choose another id'};

// Guards against a job that runs although its caller was told, on its cancel, that there is no such job (UNASKED).
test('a cancel that meets a submission under way cancels the job', async () => {
	const world = await startTestWorld({seed: 91});
	const {id, answer} = world.submit(steps);
	const cancelled = world.cancel(id);
	await world.advance(3000);
	expect([await answer, await cancelled, world.getState(id), world.countStarts()]).toEqual([{type: 'accepted'}, {type: 'done'}, 'cancelled', 0]);
});

// Guards against the same, where the submission reaches a leader only after the cancel.
test.each([false, true])('a cancel that overtakes its submission keeps the job from running (next leader: %s)', async isNextLeader => {
	const world = await startTestWorld({seed: 92, hasOtherTeam: true});
	const id = toBrand<JobId>('00000000000000aa');
	const cancelled = world.cancel(id);
	await world.advance(100);
	if (isNextLeader) {
		await world.changeLeader();
		await world.advance(1500);
	}

	const answers = [await cancelled, await world.submitAgain(id, steps)];
	const other = world.submitAgain(id, steps, otherTeamKey);
	await world.advance(3000);
	expect([...answers, await other, world.getState(id)]).toEqual([{type: 'unknownJob'}, cancelledBefore, {type: 'accepted'}, 'completed']);
	expect(world.listViolations().filter(violation => !violation.startsWith('afterCancel'))).toEqual([]);
});

test('a submission that is decided while a cancel is on its way into the log is refused', async () => {
	const world = await startTestWorld({seed: 94});
	const id = toBrand<JobId>('00000000000000ab');
	const cancelled = world.cancel(id);
	const submitted = world.submitAgain(id, steps);
	await world.advance(3000);
	expect([await cancelled, await submitted, world.countStarts()]).toEqual([{type: 'unknownJob'}, cancelledBefore, 0]);
});

test('a cancel that is not committed is not confirmed', async () => {
	const world = await startTestWorld({seed: 93});
	world.stallLog(8000);
	const {id, answer} = world.submit(steps);
	const cancelled = world.cancel(id);
	await world.advance(12_000);
	expect([await answer, await cancelled, world.getState(id), world.listViolations()]).toEqual([{type: 'uncertain'}, {type: 'uncertain'}, 'cancelled', []]);
});
