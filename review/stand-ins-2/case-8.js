/**
 * Case 8: all control hosts lose power for some seconds while a minion runs many work units that save their progress. Its lease runs out, and the work
 * units end there, each with what it has saved.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {startMinion} from './minion.js';
import {runCase, sendConfig} from './run-case.js';

/** The largest width of a step on the site is 24 to 32 work units. */
const jobCount = 13;
const tasksPerJob = 24;
const taskCount = jobCount * tasksPerJob;
const taskMs = 25_000;
const joinMs = 3000;
const startsTimeoutMs = 15_000;
/** Longer than any lease of the pages (`maxHoldMs`), and below the 9.5 s of the site. */
const downMs = 8000;
/** `recoveryS` of the pages, and a margin of as much. */
const recoveryMs = 24_000;
const idleMs = 3000;
/** `checkpointIntervalS` of the site. */
const checkpointIntervalMs = 500;
/** As long as a `taskSpec` may be. */
const checkpointLength = 4000;
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': '3000'};

const createCheckpoint = (task, startedAtMs) => {
	const count = Math.floor((Date.now() - startedAtMs) / checkpointIntervalMs);
	return count === 0 ? '' : `${task}/${count}/`.padEnd(checkpointLength, '0123456789abcdef');
};

await runCase('review/8', async ({network, hasTrouble, record, startCluster, addCleanUp}) => {
	const cluster = await startCluster();
	await sendConfig(cluster.controlAddresses, createConfig(1, [createQueue('storm', 'storms')]));
	await cluster.waitUntilReady();
	const starts = [];
	const minion = await startMinion({
		id: 'i-1', service: 'storms', host: `${network}.101`, port: 18_400, controlAddresses: cluster.controlAddresses, taskMs, createCheckpoint, record: () => undefined, onStart({task, run}) {
			starts.push({task, run, atMs: Date.now()});
		},
	});
	addCleanUp(minion.crash);
	await sleep(joinMs);
	const ids = Array.from({length: jobCount}, (_, index) => (index + 1).toString(16).padStart(16, '5c0e7a21d94b36f8'));
	for (const [index, id] of ids.entries()) {
		// eslint-disable-next-line no-await-in-loop -- one job after the other
		const {status} = await call({
			address: cluster.frontends[index % cluster.frontends.length],
			path: `/storm/${id}`,
			method: 'POST',
			headers,
			body: {
				taskSpec: 'call the houses',
				steps: [{
					count: tasksPerJob, cpu: 100, memMb: 64, estimateMs: taskMs, checkpointing: true,
				}],
			},
		});
		record(`job ${id} of ${tasksPerJob} work units handed in: ${status}`);
		if (status !== 200) {
			throw new Error('a job was not accepted');
		}
	}

	const untilMs = Date.now() + startsTimeoutMs;
	while (minion.countRuns() < taskCount && Date.now() < untilMs) {
		await sleep(100); // eslint-disable-line no-await-in-loop -- polls
	}

	record(`minion i-1 runs ${minion.countRuns()} work units`);
	if (minion.countRuns() < taskCount) {
		throw new Error('the work units did not start in time');
	}

	await sleep(2000);
	if (hasTrouble) {
		for (const member of cluster.controls) {
			member.signal('SIGKILL');
		}

		await sleep(downMs);
		record(`minion i-1 runs ${minion.countRuns()} work units`);
		for (const member of cluster.controls) {
			await member.start(); // eslint-disable-line no-await-in-loop -- one after the other
		}
	}

	const backAtMs = Date.now();
	await sleep(recoveryMs + idleMs);
	const startedAgain = starts.filter(({atMs}) => atMs > backAtMs).length;
	record(`${startedAgain} work units were started again; minion i-1 runs ${minion.countRuns()}`);
	const states = [];
	for (const id of ids) {
		// eslint-disable-next-line no-await-in-loop -- one job after the other
		const {status, body} = await call({address: cluster.frontends[0], path: `/storm/${id}`, headers});
		record(`GET /storm/${id}: ${status} ${body?.state}`);
		states.push(body?.state);
	}

	const open = states.filter(state => state !== 'completed').length;
	return hasTrouble && startedAgain === 0 && open > 0
		? [`LOST: ${open} accepted jobs have had nothing running for ${(recoveryMs + idleMs) / 1000} s after all machines were back; their minion is idle`]
		: [];
});
