/**
 * A minion leaves a hold call and a start unanswered, and carries both out seconds later, after it was cut off and has crashed behind the
 * cut. The hold call acknowledges the end of the run, of which nobody has heard. The rule TWICE: no start after a run has ended as done, if
 * that end is taken note of.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {heartbeatMs, sleep, waitUntil} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 1;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};
const taskMs = 300;
/** Late orders are carried out 2 to 12 s after they were sent. */
const startLatenessMs = 2500;
const holdLatenessMs = 4000;
const cutMs = 6000;
const watchMs = 20_000;

await runCase(async ({record, breakRule, defer}) => {
	let isDelaying = false;
	let hasDelayedHold = false;
	let hasDelayedStart = false;
	const doneTasks = new Set();
	const notedTasks = new Set();

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: taskMs}),
		getLatenessMs({path, body}) {
			if (!isDelaying) {
				return undefined;
			}

			if (path === '/hold' && !hasDelayedHold && body.waitMs > 0 && body.lastSeen > 0) {
				hasDelayedHold = true;
				record(`a hold call with lastSeen ${body.lastSeen} is delayed`);
				return holdLatenessMs;
			}

			if (path === '/run-start' && !hasDelayedStart) {
				hasDelayedStart = true;
				return startLatenessMs;
			}

			return undefined;
		},
		onEvent({type, minion, task, run, ending}) {
			if (type === 'started') {
				record(`${minion} starts ${task}#${run}`);
				if (notedTasks.has(task)) {
					breakRule(`TWICE: ${task} starts as run ${run} on ${minion}, after its end as done was taken note of`);
				}
			}

			if (type === 'ended') {
				record(`${minion} ends ${task}#${run}: ${ending}`);
				if (ending === 'done') {
					doneTasks.add(task);
				}
			}

			if (type === 'confirmed' && ending === 'done') {
				record(`${minion} has the end of ${task}#${run} acknowledged by lastSeen`);
				notedTasks.add(task);
			}
		},
	});
	await sleep(4 * heartbeatMs);
	const body = {taskSpec: 'count', steps: [{count: 1, ...request, estimateMs: taskMs}]};
	for (let count = 0; count < 3; count += 1) {
		await fleet.submitJob(body); // eslint-disable-line no-await-in-loop -- one job after the other
		await sleep(700); // eslint-disable-line no-await-in-loop -- one job after the other
	}

	isDelaying = hasTrouble;
	if (hasTrouble && await waitUntil(() => hasDelayedHold ? true : undefined, 3000, 2) === undefined) {
		throw new CaseError('no hold call was delayed');
	}

	const watchedJob = await fleet.submitJob(body);
	if (hasTrouble && await waitUntil(() => hasDelayedStart ? true : undefined, 1000, 2) === undefined) {
		throw new CaseError('no start was delayed');
	}

	record(`the job ${watchedJob} is the watched one`);
	await fleet.minions[0].cutAndRestart(cutMs);
	await sleep(watchMs);
	fleet.checkExits();
});
