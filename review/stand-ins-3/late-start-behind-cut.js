/**
 * A minion leaves one start unanswered and carries it out some seconds later, after it was cut off and has crashed behind the cut. The rule
 * TWICE: a task has no two runs at the same time, on minions that are up.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {heartbeatMs, sleep, waitUntil} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 8;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};
/** A late order is carried out 2 to 12 s after it was sent. */
const latenessMs = 8300;
/** From the start that is answered to the cut, and how long the cut lasts. */
const cutDelayMs = 2850;
const cutMs = 5500;

await runCase(async ({record, breakRule, defer}) => {
	let delayedStart;
	/** The minions that run each task. */
	const minionsByTask = new Map();

	const recordStart = ({minion, task, run}) => {
		const others = minionsByTask.get(task) ?? new Map();
		minionsByTask.set(task, others);
		record(`${minion} starts ${task}#${run}`);
		for (const [other, otherRun] of others) {
			if (other !== minion) {
				breakRule(`TWICE: ${task} runs as ${run} on ${minion} and as ${otherRun} on ${other}`);
			}
		}

		others.set(minion, run);
	};

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: undefined}),
		getLatenessMs({minion, path, body}) {
			if (!hasTrouble || path !== '/run-start' || delayedStart !== undefined) {
				return undefined;
			}

			delayedStart = {minion, task: body.task};
			return latenessMs;
		},
		onEvent(event) {
			const {type, minion, task, run} = event;
			if (type === 'started') {
				recordStart(event);
			}

			if (type === 'ended') {
				record(`${minion} ends ${task}#${run}: ${event.ending}`);
				minionsByTask.get(task).delete(minion);
			}

			for (const lost of event.lost ?? []) {
				minionsByTask.get(lost.task).delete(minion);
			}
		},
	});
	await sleep(4 * heartbeatMs);
	await fleet.submitJob({taskSpec: 'watch', steps: [{count: 1, ...request, longRunning: true}]});
	const running = await waitUntil(() => fleet.minions.find(minion => minion.listRunning().length > 0), 5000, 5);
	if (running === undefined) {
		throw new CaseError('the task was not started');
	}

	await sleep(cutDelayMs);
	if (hasTrouble && delayedStart.minion !== running.id) {
		throw new CaseError('the start was not sent to the same minion again');
	}

	await running.cutAndRestart(cutMs);
	await sleep(6000);
	fleet.checkExits();
});
