/**
 * Minions leave the orders of some seconds unanswered while a new version of the configuration lowers the maximum of a tenant. The rule
 * QUOTA: no start brings what the tenant has running above its maximum, with the allowance, and one task more.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {
	bounds, heartbeatMs, sleep, waitUntil,
} from './cluster.js';
import {createConfiguration, startFleet} from './fleet.js';

const minionCount = 10;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 2000, memMb: 1000};
const taskMs = 12_000;
const highMaximum = {cpu: 200_000, memMb: 0, gpu: 0};
const lowMaximum = {cpu: 40_000, memMb: 0, gpu: 0};
/** One minion of ten is grey, for as long as the site files have it. */
const greyId = 'i-1';
const greyMs = 5500;
const changeDelayMs = 200;

await runCase(async ({record, breakRule, defer}) => {
	let isGrey = false;
	let ignoredStarts = 0;
	let lowSinceMs = Number.POSITIVE_INFINITY;
	let used = 0;

	// Until the new version has to be in force everywhere, the higher maximum counts.
	const getLimit = atMs => ((atMs >= lowSinceMs ? lowMaximum.cpu : highMaximum.cpu) * (1 + bounds.quotaOverage)) + request.cpu;

	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: createConfiguration(1, {maximum: highMaximum}),
		describeTask: () => ({request, durationMs: taskMs}),
		isIgnored(id, path) {
			const isIgnored = isGrey && id === greyId && path !== '/hold';
			ignoredStarts += Number(isIgnored && path === '/run-start');
			return isIgnored;
		},
		onEvent({type, minion, atMs, task, run}) {
			if (type === 'ended') {
				used -= request.cpu;
			}

			if (type !== 'started') {
				return;
			}

			used += request.cpu;
			const limit = getLimit(atMs);
			record(`${minion} starts ${task}#${run}: the tenant has ${used} millicores running, of ${limit} at most`);
			if (used > limit) {
				breakRule(`QUOTA: the start of ${task}#${run} brings the tenant to ${used} millicores of ${limit}`);
			}
		},
	});
	await sleep(4 * heartbeatMs);

	isGrey = hasTrouble;
	record(`${greyId} ${isGrey ? 'answers hold calls only' : 'answers all calls'}`);
	await fleet.submitJob({taskSpec: 'count', steps: [{count: 40, ...request, estimateMs: taskMs}]});
	const grey = fleet.minions.find(({id}) => id === greyId);
	const isStarted = await waitUntil(() => (hasTrouble ? ignoredStarts > 0 : grey.listRunning().length > 0) ? true : undefined, 3000, 5);
	if (isStarted === undefined) {
		throw new CaseError(`no start was sent to ${greyId}`);
	}

	const greyUntilMs = performance.now() + greyMs;
	await sleep(changeDelayMs);
	if (await fleet.replaceConfiguration(createConfiguration(2, {maximum: lowMaximum})) !== 200) {
		throw new CaseError('the lower maximum was not confirmed');
	}

	lowSinceMs = performance.now() + bounds.configApplyMs;
	await sleep(Math.max(0, greyUntilMs - performance.now()));
	isGrey = false;
	record(`${greyId} answers all calls`);
	await sleep(4000);
	fleet.checkExits();
});
