/**
 * Case 9: two consumers of one tenant choose the same ID for jobs on two queues. Both are told that their job was accepted.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {startMinion} from './minion.js';
import {runCase, sendConfig} from './run-case.js';

const id = '5c0e7a21d94b36f8';
const otherId = '5c0e7a21d94b36f9';
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': '3000'};
const taskMs = 1000;
/** `finish_s` of the pages. */
const finishMs = 14_000;
const joinMs = 3000;

const createJob = taskSpec => ({
	taskSpec, steps: [{
		count: 2, cpu: 500, memMb: 256, estimateMs: taskMs,
	}],
});

await runCase('review/9', async ({network, hasTrouble, record, startCluster, addCleanUp}) => {
	const cluster = await startCluster();
	const [first, second] = cluster.frontends;
	await sendConfig(cluster.controlAddresses, createConfig(1, [createQueue('alarm', 'alarms'), createQueue('storm', 'storms')]));
	await cluster.waitUntilReady();
	const payloads = [];
	for (const [number, service] of [[1, 'alarms'], [2, 'alarms'], [3, 'storms'], [4, 'storms']]) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const minion = await startMinion({
			id: `i-${number}`, service, host: `${network}.${number + 100}`, port: 18_400, controlAddresses: cluster.controlAddresses, taskMs, record, async handleCall({path, body, run}) {
				if (path === '/run-start') {
					record(`minion i-${number} of ${service} is told to start ${body.task}: "${body.taskSpec}"`);
					payloads.push(`${service}: ${body.taskSpec}`);
				}

				return run();
			},
		});
		addCleanUp(minion.crash);
	}

	await sleep(joinMs);
	const submit = async (address, path, taskSpec) => {
		const {status, text} = await call({
			address, path, method: 'POST', headers, body: createJob(taskSpec),
		});
		record(`POST ${path} "${taskSpec}": ${status} ${text}`);
		return status;
	};

	const secondPath = `/storm/${hasTrouble ? id : otherId}`;
	const statuses = [
		await submit(first, `/alarm/${id}`, 'check the pump of house 7'),
		await submit(second, secondPath, 'send a volunteer to house 9'),
	];
	await sleep(finishMs);
	const state = await call({address: second, path: secondPath, headers});
	record(`GET ${secondPath}: ${state.status} ${state.text}`);
	const hasRun = payloads.includes('storms: send a volunteer to house 9');
	record(`work units of the second job that a minion was told to start: ${payloads.filter(text => text.startsWith('storms: ')).length}`);
	if (statuses[0] !== 200) {
		throw new Error('the first job was not accepted');
	}

	return [
		...(statuses[1] === 200 && state.body?.state === 'completed' && !hasRun ? ['MIXED: the second job is shown as completed, and none of its work units was ever started'] : []),
		...(statuses[1] === 200 && !hasRun ? ['LOST: the second job was accepted, and nothing of it has run 14 s later, with all minions idle'] : []),
	];
});
