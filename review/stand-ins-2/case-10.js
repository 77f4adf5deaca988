/**
 * Case 10: at the very first start of the system one control host is killed before the three have found each other, and starts again a second
 * later. Nothing else happens.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {runCase} from './run-case.js';

const killAfterMs = 150;
const restartDelayMs = 1000;
/** When traffic starts, after the machines do, and how long it is played. */
const leadMs = 12_000;
const trafficMs = 30_000;
/** `ackTimeoutMs` and `contactMs` of the pages. */
const ackTimeoutMs = 4000;
const contactMs = 3000;
const retryMs = 300;
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': '3000'};

await runCase('review/10', async ({hasTrouble, record, startCluster}) => {
	const cluster = await startCluster();
	const startedAtMs = Date.now();
	if (hasTrouble) {
		await sleep(killAfterMs);
		cluster.controls[0].signal('SIGKILL');
		await sleep(restartDelayMs);
		await cluster.controls[0].start();
	}

	const backAtMs = Date.now();
	let acknowledgedAtMs;
	const answers = new Map();
	const untilMs = startedAtMs + leadMs + trafficMs;
	for (let attempt = 0; Date.now() < untilMs; attempt += 1) {
		if (acknowledgedAtMs === undefined) {
			// eslint-disable-next-line no-await-in-loop -- until it is acknowledged
			const {status} = await call({
				address: cluster.controlAddresses[attempt % cluster.controlAddresses.length], path: '/Config.Replace', method: 'POST', body: createConfig(1, [createQueue('alarm', 'alarms')]),
			});
			answers.set(`Config.Replace ${status}`, (answers.get(`Config.Replace ${status}`) ?? 0) + 1);
			acknowledgedAtMs = status === 200 ? Date.now() : undefined;
		}

		if (Date.now() - startedAtMs > leadMs) {
			// eslint-disable-next-line no-await-in-loop -- one request after the other
			const {status} = await call({
				address: cluster.frontends[attempt % cluster.frontends.length], path: `/alarm/${attempt.toString(16).padStart(16, 'a')}`, method: 'POST', headers, body: {
					taskSpec: 'x', steps: [{
						count: 1, cpu: 500, memMb: 64, estimateMs: 500,
					}],
				},
			});
			answers.set(`POST job ${status}`, (answers.get(`POST job ${status}`) ?? 0) + 1);
		}

		await sleep(retryMs); // eslint-disable-line no-await-in-loop -- one request after the other
	}

	for (const [answer, count] of answers) {
		record(`${answer}: ${count} times`);
	}

	for (const {name, exits} of cluster.controls) {
		record(`${name}: ${exits.length} exits that nobody asked for`);
	}

	record(acknowledgedAtMs === undefined ? 'the first config was never acknowledged' : `the first config was acknowledged ${acknowledgedAtMs - startedAtMs} ms after the start`);
	const isServed = answers.has('POST job 200');
	return isServed || (acknowledgedAtMs ?? Number.POSITIVE_INFINITY) - backAtMs < contactMs + ackTimeoutMs
		? []
		: [`Fault: no request was served in ${trafficMs / 1000} s of traffic, and the config was not acknowledged, with all machines up for ${((Date.now() - backAtMs) / 1000).toFixed(0)} s`];
});
