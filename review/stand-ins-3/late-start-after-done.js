/**
 * A minion leaves one start unanswered and carries it out some seconds later. By then the task is done by a second copy of the order, its
 * end is confirmed, and the minion was cut off and has crashed behind the cut. The rule TWICE: no start after a run has ended as done, if
 * that end is taken note of.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {heartbeatMs, sleep, waitUntil} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 8;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};
const taskMs = 500;
/** A late order is carried out 2 to 12 s after it was sent. */
const latenessMs = 8500;
const cutMs = 5500;

await runCase(async ({record, breakRule, defer}) => {
	let delayedStart;
	let isConfirmed = false;

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: taskMs}),
		getLatenessMs({minion, path, body}) {
			if (!hasTrouble || path !== '/run-start' || delayedStart !== undefined) {
				return undefined;
			}

			delayedStart = {minion, task: body.task};
			return latenessMs;
		},
		onEvent({type, minion, task, run, ending}) {
			if (type === 'started') {
				record(`${minion} starts ${task}#${run}`);
				if (isConfirmed) {
					breakRule(`TWICE: ${task} starts as run ${run} on ${minion}, after its end as done was confirmed`);
				}
			}

			if (type === 'ended') {
				record(`${minion} ends ${task}#${run}: ${ending}`);
			}

			if (type === 'confirmed') {
				record(`${minion} has the end of ${task}#${run} as ${ending} confirmed by lastSeen`);
				isConfirmed ||= ending === 'done';
			}
		},
	});
	await sleep(4 * heartbeatMs);
	const id = await fleet.submitJob({taskSpec: 'count', steps: [{count: 1, ...request, estimateMs: taskMs}]});
	const isDone = await waitUntil(() => isConfirmed ? true : undefined, 7000, 5);
	if (isDone === undefined) {
		throw new CaseError('the end of the task was not confirmed in time');
	}

	await sleep(300);
	const {body} = await fleet.callEntry({method: 'GET', id});
	if (body?.state !== 'completed') {
		throw new CaseError('the job is not completed');
	}

	const minion = fleet.minions.find(({id: known}) => known === delayedStart?.minion) ?? fleet.minions[0];
	await minion.cutAndRestart(cutMs);
	await sleep(4000);
	fleet.checkExits();
});
