/**
 * Jobs of a queue with advice come at once. The rule LOST: `finish_s` after the end of the traffic no job has nothing running for 3 s while
 * the turn of one of its tasks has come, and there is capacity for it.
 */
import {hasTrouble, runCase} from './case.js';
import {
	bounds, heartbeatMs, sleep, toMs,
} from './cluster.js';
import {createConfiguration, createJobId, startFleet} from './fleet.js';

const minionCount = 8;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};
const taskMs = 500;
const policy = {decisionMs: 200, perWorkerMs: 10, validityMs: 3000};
const jobCount = 20;
/** Twenty a second is 2.6 times the mean of the busiest queue. */
const spacingMs = hasTrouble ? 50 : 600;
const idleMs = 3000;

await runCase(async ({record, breakRule, defer}) => {
	const startedJobs = new Set();
	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1, {advice: policy}),
		describeTask: () => ({request, durationMs: taskMs}),
		onEvent({type, task}) {
			if (type === 'started') {
				startedJobs.add(task.split('.')[0]);
			}
		},
	});
	await sleep(4 * heartbeatMs);
	const accepted = [];
	const submit = async () => {
		const id = createJobId();
		const {status} = await fleet.callEntry({method: 'POST', id, body: {taskSpec: 'count', steps: [{count: 2, ...request, estimateMs: taskMs}]}});
		if (status === 200) {
			accepted.push(id);
		}
	};

	const submissions = [];
	for (let index = 0; index < jobCount; index += 1) {
		submissions.push(submit());
		await sleep(spacingMs); // eslint-disable-line no-await-in-loop -- one job after the other
	}

	await Promise.all(submissions);
	record(`the traffic ends; ${accepted.length} jobs are accepted, and ${startedJobs.size} have started`);
	for (let second = 0; second < bounds.finish_s; second += 1) {
		await sleep(toMs(1)); // eslint-disable-line no-await-in-loop -- looks once a second
		record(`${startedJobs.size} jobs have started; ${fleet.advice.countWaiting()} calls for advice wait`);
	}

	const before = accepted.filter(id => !startedJobs.has(id));
	await sleep(idleMs);
	const idle = before.filter(id => !startedJobs.has(id));
	record(`${idle.length} of ${accepted.length} jobs have never started`);
	for (const id of idle) {
		breakRule(`LOST: ${bounds.finish_s} s after the end of the traffic, job ${id} has nothing running for ${idleMs} ms`);
	}

	fleet.checkExits();
});
