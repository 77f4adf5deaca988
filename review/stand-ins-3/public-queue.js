/**
 * A new version of the configuration replaces the route of a queue by a public one at the same host and prefix, which needs no key. The rule
 * LOST: an accepted job that nobody has cancelled is not answered with 410.
 */
import {CaseError, hasTrouble, runCase} from './case.js';
import {
	bounds, callHttp, heartbeatMs, sleep,
} from './cluster.js';
import {createConfiguration, queue, startFleet} from './fleet.js';

const minionCount = 4;
const capacity = {cpu: 8000, memMb: 16_000, gpu: 0};
const request = {cpu: 1000, memMb: 1000};

await runCase(async ({record, breakRule, defer}) => {
	const first = createConfiguration(1);
	const fleet = await startFleet({
		record,
		defer,
		minionCount,
		capacity,
		configuration: first,
		describeTask: () => ({request, durationMs: undefined}),
	});
	await sleep(4 * heartbeatMs);
	const id = await fleet.submitJob({taskSpec: 'watch', steps: [{count: 4, ...request, longRunning: true}]});
	await sleep(bounds.visible_ms);

	const [route] = first.routes;
	const second = {...first, version: 2, routes: [{...route, name: 'r-orders-2', public: hasTrouble}]};
	if (await fleet.replaceConfiguration(second) !== 200) {
		throw new CaseError('the second version was not confirmed');
	}

	await sleep(bounds.configApplyMs + bounds.contactMs);
	const headers = {host: queue.host, 'x-samphiremill-deadline-ms': '3000', ...(!hasTrouble && {'api-key': queue.key})};
	const countRuns = () => fleet.minions.reduce((sum, minion) => sum + minion.listRunning().length, 0);
	for (const address of fleet.cluster.entryAddresses) {
		const answer = await callHttp({address, target: `${queue.prefix}${id}`, headers}); // eslint-disable-line no-await-in-loop -- one host after the other
		record(`the client asks for the job, with ${hasTrouble ? 'no key, since the route is public' : 'its key'}: ${answer.status} ${JSON.stringify(answer.body)}`);
		if (answer.status === 410) {
			breakRule(`LOST: a GET for the accepted job ${id}, of which ${countRuns()} work units run, is answered 410`);
		}
	}

	if (hasTrouble) {
		const [address] = fleet.cluster.entryAddresses;
		const {status} = await callHttp({
			address, method: 'DELETE', target: `${queue.prefix}${id}`, headers,
		});
		await sleep(bounds.cancel_ms + bounds.stopTimeoutMs + bounds.contactMs);
		record(`the client cancels the job: ${status}; afterwards ${countRuns()} of its work units run`);
	}

	fleet.checkExits();
});
