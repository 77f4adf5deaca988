/** Runs one case: starts the cluster, plays the case, writes the record, and ends with the exit code that the review asks for. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {chooseNetwork, startCluster} from './cluster.js';
import {call} from './http-call.js';
import {createRecord} from './record.js';

const exitCodes = {held: 0, broken: 1, notRun: 2};
const retryMs = 200;
const configTries = 100;

/** Sends a configuration until it is acknowledged. */
export async function sendConfig(controlAddresses, config) {
	for (let attempt = 0; attempt < configTries; attempt += 1) {
		// eslint-disable-next-line no-await-in-loop -- until it is acknowledged
		const {status} = await call({
			address: controlAddresses[attempt % controlAddresses.length], path: '/Config.Replace', method: 'POST', body: config,
		});
		if (status === 200) {
			return;
		}

		await sleep(retryMs); // eslint-disable-line no-await-in-loop -- until it is acknowledged
	}

	throw new Error('the first configuration was never acknowledged');
}

/**
 * Runs a case.
 *
 * The first argument of the process is the file that the record is written to.
 *
 * @param folder - The folder of the case, relative to the repository.
 * @param play - Plays the case; resolves to the breaks of the rule that it saw. It throws if the case could not run.
 */
export async function runCase(folder, play) {
	const recordFile = process.argv.at(2);
	const record = createRecord();
	const hasTrouble = process.env.TROUBLE !== '0';
	const cleanUps = [];
	const cleanUp = async () => {
		for (const end of cleanUps.splice(0).toReversed()) {
			await end(); // eslint-disable-line no-await-in-loop -- in the opposite order
		}
	};

	let outcome = 'notRun';
	process.once('SIGTERM', async () => {
		await cleanUp();
		record.add('ended from outside');
		record.save(recordFile);
		process.exit(exitCodes.notRun);
	});
	try {
		const network = await chooseNetwork();
		record.add(`case ${folder}, ${hasTrouble ? 'with' : 'without'} the disruption, network ${network}.0`);
		const breaks = await play({
			network,
			hasTrouble,
			record: record.add,
			addCleanUp(end) {
				cleanUps.push(end);
			},
			async startCluster(options = {}) {
				const cluster = await startCluster({network, record: record.add, ...options});
				cleanUps.push(cluster.close);
				return cluster;
			},
		});
		for (const text of breaks) {
			record.add(`BROKEN: ${text}`);
		}

		outcome = breaks.length > 0 ? 'broken' : 'held';
	} catch (err) {
		record.add(`could not run: ${err instanceof Error ? err.stack : String(err)}`);
	}

	await cleanUp();
	record.add(`outcome: ${outcome}`);
	record.save(recordFile);
	console.log(`${folder}: ${outcome}`);
	process.exit(exitCodes[outcome]); // eslint-disable-line unicorn/no-process-exit -- the exit code is the result
}
