/**
 * Case 6: one large job comes, of many small work units that all have room at once. Another consumer hands in an ordinary job on a queue of
 * another service, whose minions are idle.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {startMinion} from './minion.js';
import {runCase, sendConfig} from './run-case.js';

const largeId = '5c0e7a21d94b36f1';
const ordinaryId = '5c0e7a21d94b36f2';
const counts = {large: 20_000, usual: 1000};
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': '3000'};
const taskMs = 1000;
const joinMs = 3000;
/** `finish_s` of the pages. */
const finishMs = 14_000;

await runCase('review/6', async ({network, hasTrouble, record, startCluster, addCleanUp}) => {
	const cluster = await startCluster();
	const [first, second] = cluster.frontends;
	await sendConfig(cluster.controlAddresses, createConfig(1, [createQueue('storm', 'storms'), createQueue('alarm', 'alarms')]));
	await cluster.waitUntilReady();
	const starts = [];
	for (const [number, service] of [[1, 'storms'], [2, 'storms'], [3, 'alarms'], [4, 'alarms']]) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const minion = await startMinion({
			id: `i-${number}`, service, host: `${network}.${number + 100}`, port: 18_400, controlAddresses: cluster.controlAddresses, taskMs, record: hasTrouble ? record : () => undefined, onStart({task}) {
				starts.push(task);
			},
		});
		addCleanUp(minion.crash);
	}

	await sleep(joinMs);
	const submit = async (address, path, steps) => {
		const {status, text} = await call({
			address, path, method: 'POST', headers, body: {taskSpec: 'call the houses', steps},
		});
		record(`POST ${path} ${JSON.stringify(steps)}: ${status} ${text}`);
		return status;
	};

	const ask = async (address, path) => {
		const {status, body} = await call({address, path, headers});
		record(`GET ${path}: ${status} ${body?.state}`);
		return body?.state;
	};

	const largeStatus = await submit(first, `/storm/${largeId}`, [{
		count: hasTrouble ? counts.large : counts.usual, cpu: 2, memMb: 1, estimateMs: taskMs,
	}]);
	const ordinaryStatus = await submit(second, `/alarm/${ordinaryId}`, [{
		count: 2, cpu: 500, memMb: 256, estimateMs: taskMs,
	}]);
	if (largeStatus !== 200 || ordinaryStatus !== 200) {
		throw new Error('a job was not accepted');
	}

	await sleep(finishMs);
	const breaks = [];
	for (const [address, path, id] of [[second, `/alarm/${ordinaryId}`, ordinaryId], [first, `/storm/${largeId}`, largeId]]) {
		const state = await ask(address, path); // eslint-disable-line no-await-in-loop -- one after the other
		const startCount = starts.filter(task => task.startsWith(`${id}.`)).length;
		record(`work units of ${id} that were started: ${startCount}`);
		if (startCount === 0) {
			breaks.push(`LOST: the accepted job ${id} has had nothing running for ${finishMs / 1000} s and is "${state}"; its service and its tenant use nothing, and there is room for it`);
		}
	}

	return breaks;
});
