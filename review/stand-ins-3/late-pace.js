/**
 * A minion leaves one pace order unanswered and carries it out some seconds later, after newer ones. The rule HARM: a serving task is not
 * kept over its target by the fillers beside it.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {
	bounds, heartbeatMs, sleep, waitUntil,
} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 4;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};
const targetMs = 100;
/** Share of a filler's pace in percent by which it raises the tail of the serving tasks beside it, in milliseconds. */
const harmPerPercent = 0.5;
/** The tail without fillers: at first, after a first rise of the load, and after a second one. It stays below the target. */
const tailsMs = {low: 20, medium: 30, high: 85};
const delayedMinion = 'i-1';
const latenessMs = 8000;
const pollMs = 50;
const watchMs = 15_000;

await runCase(async ({record, breakRule, defer}) => {
	let ownTailMs = tailsMs.low;
	let isPaceDelayed = false;
	let isPaceConfirmed = false;
	let lateAtMs = Number.POSITIVE_INFINITY;
	const servingStep = 0;

	const getStep = task => Number(task.split('.')[2]);
	const listFillers = runs => runs.filter(({task}) => getStep(task) !== servingStep);
	const getTailMs = runs => ownTailMs + (harmPerPercent * listFillers(runs).reduce((sum, {percent}) => sum + percent, 0));

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: undefined}),
		measureRun: ({task, runs}) => getStep(task) === servingStep ? Math.round(getTailMs([...runs.values()])) : 100,
		getLatenessMs({minion, path, body}) {
			if (path !== '/pace' || minion !== delayedMinion) {
				return undefined;
			}

			if (hasTrouble && !isPaceDelayed && body.percent > 0) {
				isPaceDelayed = true;
				return latenessMs;
			}

			isPaceConfirmed = true;
			return undefined;
		},
		onEvent({type, minion}) {
			if (type === 'lateOrder') {
				lateAtMs = performance.now();
				record(`the order that was carried out late is the last disruption, on ${minion}`);
			}
		},
	});
	await sleep(4 * heartbeatMs);

	await fleet.submitJob({
		taskSpec: 'serve and fill',
		steps: [
			{
				count: minionCount, ...request, longRunning: true, antiAffinity: 1, image: 'shop', targetMs,
			},
			{
				count: minionCount, ...request, longRunning: true, antiAffinity: 1, image: 'recount', fills: true,
			},
		],
	});
	const areAllRunning = await waitUntil(() => fleet.minions.every(minion => minion.listRunning().length === 2) ? true : undefined, 8000);
	if (areAllRunning === undefined) {
		throw new CaseError('not all minions have a serving task and a filler');
	}

	record('each minion has a serving task and a filler');
	await sleep(2000);
	ownTailMs = tailsMs.medium;
	record(`the load rises: the tail without fillers is ${ownTailMs} ms of ${targetMs}`);
	if (await waitUntil(() => isPaceConfirmed ? true : undefined, 5000) === undefined) {
		throw new CaseError('no pace order was confirmed');
	}

	await sleep(1500);
	ownTailMs = tailsMs.high;
	record(`the load rises: the tail without fillers is ${ownTailMs} ms of ${targetMs}`);
	if (hasTrouble && await waitUntil(() => lateAtMs < Number.POSITIVE_INFINITY ? true : undefined, 2 * latenessMs) === undefined) {
		throw new CaseError('the late order was not carried out');
	}

	// A disruption is near for `contactMs` after it.
	await sleep(bounds.contactMs);
	record('from now on no disruption is near');
	const overSince = new Map();
	const broken = new Set();
	const untilMs = performance.now() + watchMs;
	while (performance.now() < untilMs) {
		for (const {id, listRunning} of fleet.minions) {
			const runs = listRunning();
			const isOver = getTailMs(runs) > targetMs && listFillers(runs).some(({percent}) => percent > 0);
			overSince.set(id, isOver ? overSince.get(id) ?? performance.now() : undefined);
			const overMs = isOver ? performance.now() - overSince.get(id) : 0;
			if (overMs >= bounds.interferenceMs && !broken.has(id)) {
				broken.add(id);
				const percents = listFillers(runs).map(({task, percent}) => `${task} at ${percent}`).join(', ');
				breakRule(`HARM: the serving task on ${id} has a tail of ${getTailMs(runs)} ms of ${targetMs} for ${Math.round(overMs)} ms, beside ${percents}`);
			}
		}

		await sleep(pollMs); // eslint-disable-line no-await-in-loop -- samples the tails
	}

	for (const {id, listRunning} of fleet.minions) {
		record(`at the end ${id} has a tail of ${getTailMs(listRunning())} ms of ${targetMs}`);
	}

	fleet.checkExits();
});
