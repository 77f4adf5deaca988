/**
 * A minion that leaves the orders of some seconds unanswered reports a smaller capacity meanwhile. The rule LIMIT: no start brings it
 * over its capacity, where a capacity that has shrunk counts for `contactMs` and one report longer.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {
	bounds, heartbeatMs, sleep, waitUntil,
} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 10;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const smallCapacity = {cpu: 1000, memMb: 16_000, gpu: 0};
const request = {cpu: 2000, memMb: 1000};
const taskMs = 12_000;
/** One minion of ten is grey, for as long as the site files have it. */
const greyId = 'i-1';
const greyMs = 5500;
const shrinkDelayMs = 300;
const graceMs = bounds.contactMs + heartbeatMs;

const sumCpu = runs => runs.reduce((sum, run) => sum + run.request.cpu, 0);

await runCase(async ({record, breakRule, defer}) => {
	let isGrey = false;
	let isSmallAcknowledged = false;
	let ignoredStarts = 0;
	/** The capacities that each minion had, with the times until which they count. */
	const earlier = new Map();

	const getLargestCapacity = (minion, atMs, present) => Math.max(present.cpu, ...(earlier.get(minion) ?? [])
		.filter(({untilMs}) => untilMs >= atMs).map(({cpu}) => cpu));

	const checkStart = ({minion, atMs, running, capacity: present, task, run}) => {
		const used = sumCpu(running);
		const limit = getLargestCapacity(minion, atMs, present);
		record(`${minion} starts ${task}#${run}: ${used} of ${limit} millicores in use`);
		if (used > limit) {
			breakRule(`LIMIT: the start of ${task}#${run} brings ${minion} to ${used} millicores of ${limit}`);
		}
	};

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1),
		describeTask: () => ({request, durationMs: taskMs}),
		isIgnored(id, path) {
			const isIgnored = isGrey && id === greyId && path !== '/hold';
			ignoredStarts += Number(isIgnored && path === '/run-start');
			return isIgnored;
		},
		onEvent(event) {
			if (event.type === 'started') {
				checkStart(event);
			}
		},
		onReported({minion, status, capacity: reported}) {
			if (minion === greyId && reported === smallCapacity && status === 200 && !isSmallAcknowledged) {
				isSmallAcknowledged = true;
				record(`${minion} has its report of ${reported.cpu} millicores confirmed`);
			}
		},
	});
	await sleep(4 * heartbeatMs);

	const grey = fleet.minions.find(({id}) => id === greyId);
	isGrey = hasTrouble;
	record(`${greyId} ${isGrey ? 'answers hold calls only' : 'answers all calls'}`);
	await fleet.submitJob({taskSpec: 'count', steps: [{count: 40, ...request, estimateMs: taskMs}]});
	const isStarted = await waitUntil(() => (hasTrouble ? ignoredStarts > 0 : grey.listRunning().length > 0) ? true : undefined, 3000, 5);
	if (isStarted === undefined) {
		throw new CaseError(`no start was sent to ${greyId}`);
	}

	const greyUntilMs = performance.now() + greyMs;
	await sleep(shrinkDelayMs);
	earlier.set(greyId, [{cpu: capacity.cpu, untilMs: performance.now() + graceMs}]);
	grey.setCapacity(smallCapacity);
	record(`${greyId} has ${smallCapacity.cpu} millicores from now on`);
	await sleep(Math.max(0, greyUntilMs - performance.now()));
	isGrey = false;
	record(`${greyId} answers all calls`);
	if (!isSmallAcknowledged) {
		throw new CaseError('the report of the smaller capacity was not confirmed');
	}

	await sleep(5000);
	fleet.checkExits();
});
