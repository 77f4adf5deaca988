/**
 * A task crashes each minion that starts it, some seconds after its start. The rule BUDGET: after three minions have crashed under it, it is
 * not started three times more.
 */
import {hasTrouble, runCase} from './case.js';
import {heartbeatMs, sleep, waitUntil} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 8;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 2000, memMb: 1000};
const taskMs = 6000;
/** How long the task runs until its minion crashes, and how long the minion is down then. */
const crashAfterMs = 4000;
const downMs = 3000;
const longestMs = 95_000;
const countedCrashes = 3;
const forbiddenStarts = 3;

await runCase(async ({record, breakRule, defer}) => {
	let crashes = 0;
	let startsAfterThirdCrash = 0;
	const minions = new Map();

	const crashLater = async ({minion, task}) => {
		await sleep(crashAfterMs);
		const found = minions.get(minion);
		if (found.listRunning().some(run => run.task === task)) {
			crashes += 1;
			await found.crash(downMs);
		}
	};

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: taskMs}),
		onEvent(event) {
			const {type, minion, task, run} = event;
			if (type === 'ended') {
				record(`${minion} ends ${task}#${run}: ${event.ending}`);
			}

			if (type !== 'started') {
				return;
			}

			startsAfterThirdCrash += Number(crashes >= countedCrashes);
			record(`${minion} starts ${task}#${run}, after ${crashes} crashes under it`);
			if (startsAfterThirdCrash === forbiddenStarts) {
				breakRule(`BUDGET: ${task} is started ${startsAfterThirdCrash} times more after ${countedCrashes} minions have crashed under it`);
			}

			if (hasTrouble) {
				crashLater(event);
			}
		},
	});
	for (const minion of fleet.minions) {
		minions.set(minion.id, minion);
	}

	await sleep(4 * heartbeatMs);
	const id = await fleet.submitJob({taskSpec: 'leaks memory', steps: [{count: 1, ...request, estimateMs: taskMs}]});
	await waitUntil(async () => {
		if (startsAfterThirdCrash >= forbiddenStarts) {
			return true;
		}

		const {status, body} = await fleet.callEntry({method: 'GET', id});
		return status === 200 && ['completed', 'failed'].includes(body.state) ? true : undefined;
	}, longestMs, 1000);
	fleet.checkExits();
});
