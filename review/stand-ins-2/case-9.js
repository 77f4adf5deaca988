/**
 * Case 9: the leading control host is frozen for less than half a second while a consumer hands in a job. The consumer leaves before it has an
 * answer, and cancels the job at another entry host. The cancel is confirmed, and the job starts and runs to its end.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {startMinion} from './minion.js';
import {runCase, sendConfig} from './run-case.js';

const roundCount = 5;
const consumerDeadlineMs = 3000;
/** The consumer's patience: half of the objective, as the sites' consumers have it. */
const patienceMs = 300;
/** The sites freeze a machine for 7.6 s at most. */
const freezeMs = 450;
const beforeSubmitMs = 50;
/** `cancel_ms` and `contactMs` of the pages. */
const cancelMs = 3000;
const contactMs = 3000;
const stepCount = 6;
const taskMs = 1000;
const watchMs = (stepCount + 2) * taskMs;
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': String(consumerDeadlineMs)};

const job = {
	taskSpec: 'check the pump', steps: Array.from({length: stepCount}, (_, step) => ({
		count: 1, cpu: 500, memMb: 256, estimateMs: taskMs, ...(step > 0 && {dependsOn: [step - 1]}),
	})),
};

await runCase('review/9', async ({network, hasTrouble, record, startCluster, addCleanUp}) => {
	const cluster = await startCluster();
	const [first, second] = cluster.frontends;
	await sendConfig(cluster.controlAddresses, createConfig(1, [createQueue('alarm', 'alarms')]));
	await cluster.waitUntilReady();
	const starts = [];
	for (const number of [1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const minion = await startMinion({
			id: `i-${number}`, service: 'alarms', host: `${network}.${number + 100}`, port: 18_400, controlAddresses: cluster.controlAddresses, taskMs, record, onStart(start) {
				starts.push({...start, atMs: Date.now()});
			},
		});
		addCleanUp(minion.crash);
	}

	await sleep(contactMs);
	const breaks = [];
	for (let round = 1; round <= roundCount && breaks.length === 0; round += 1) {
		const id = `5c0e7a21d94b36f${round}`;
		const leader = cluster.findLeader();
		if (hasTrouble) {
			leader.signal('SIGSTOP');
		}

		const frozenAtMs = Date.now();
		await sleep(beforeSubmitMs); // eslint-disable-line no-await-in-loop -- one round after the other
		// eslint-disable-next-line no-await-in-loop -- one round after the other
		const submitted = await call({
			address: first, path: `/alarm/${id}`, method: 'POST', headers, body: job, timeoutMs: patienceMs,
		});
		record(`job ${id} handed in at entry-1: ${submitted.status === 0 ? `no answer within ${patienceMs} ms, the consumer leaves` : submitted.status}`);
		const cancelling = call({
			address: second, path: `/alarm/${id}`, method: 'DELETE', headers, timeoutMs: consumerDeadlineMs,
		});
		if (hasTrouble) {
			await sleep(frozenAtMs + freezeMs - Date.now()); // eslint-disable-line no-await-in-loop -- one round after the other
			leader.signal('SIGCONT');
		}

		const thawedAtMs = Date.now();
		const cancelled = await cancelling; // eslint-disable-line no-await-in-loop -- one round after the other
		const cancelledAtMs = Date.now();
		record(`job ${id} cancelled at entry-2: ${cancelled.status} ${cancelled.text ?? ''}`);
		await sleep(watchMs); // eslint-disable-line no-await-in-loop -- one round after the other
		// eslint-disable-next-line no-await-in-loop -- one round after the other
		const state = await call({
			address: second, path: `/alarm/${id}`, headers, timeoutMs: consumerDeadlineMs,
		});
		record(`job ${id} asked for: ${state.status} ${state.text ?? ''}`);
		if (cancelled.status === 200 || cancelled.status === 410) {
			breaks.push(...starts
				.filter(({task, atMs}) => task.startsWith(`${id}.`) && atMs - cancelledAtMs > cancelMs && atMs - thawedAtMs > contactMs)
				.map(({task, atMs}) => `UNASKED: work unit ${task} started ${((atMs - cancelledAtMs) / 1000).toFixed(2)} s after the cancel was confirmed with ${cancelled.status}`));
		}
	}

	return breaks;
});
