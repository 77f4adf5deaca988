/**
 * Case 7: schedules of ordinary length. A tenant hands in jobs that run each minute of a day, one after the other. Each is a small request.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, createQueue} from './fleet-config.js';
import {call} from './http-call.js';
import {runCase, sendConfig} from './run-case.js';

const jobCount = 24;
const submitPeriodMs = 500;
const restartDelayMs = 1000;
/** `finish_s` of the pages: how long after the traffic jobs are asked for. */
const finishMs = 14_000;
/** How long a job is asked for, at both entry hosts by turns; four times a consumer's deadline. */
const askMs = 12_000;
const minuteMs = 60_000;
const consumerDeadlineMs = 3000;
const occurrences = {dayByTheMinute: 1440, ofTheSite: 4};
const headers = {host: 'pumps.example', 'api-key': 'key-parish-1', 'x-samphiremill-deadline-ms': String(consumerDeadlineMs)};

// As the platform does: a process that exits is started again after a short delay.
const keepRunning = (members, isOver) => {
	const watch = async member => {
		while (!isOver()) {
			if (!member.isRunning()) {
				await sleep(restartDelayMs); // eslint-disable-line no-await-in-loop -- watches
				if (!isOver()) {
					await member.start(); // eslint-disable-line no-await-in-loop -- watches
				}
			}

			await sleep(50); // eslint-disable-line no-await-in-loop -- watches
		}
	};

	return Promise.all(members.map(async member => watch(member)));
};

await runCase('review/7', async ({hasTrouble, record, startCluster, addCleanUp}) => {
	const cluster = await startCluster();
	let isOver = false;
	await sendConfig(cluster.controlAddresses, createConfig(1, [createQueue('alarm', 'alarms')]));
	await cluster.waitUntilReady();
	const watching = keepRunning(cluster.controls, () => isOver);
	addCleanUp(async () => {
		isOver = true;
		await watching;
	});

	const accepted = [];
	for (let index = 0; index < jobCount; index += 1) {
		const id = (index + 1).toString(16).padStart(16, 'a');
		// eslint-disable-next-line no-await-in-loop -- one job after the other
		const {status} = await call({
			address: cluster.frontends[index % cluster.frontends.length],
			path: `/alarm/${id}`,
			method: 'POST',
			headers,
			timeoutMs: consumerDeadlineMs,
			body: {
				taskSpec: 'check the pumps of the parish',
				steps: [{
					count: 24, cpu: 500, memMb: 256, estimateMs: 900,
				}],
				repeatCount: hasTrouble ? occurrences.dayByTheMinute : occurrences.ofTheSite,
				startAtMs: Date.now() + minuteMs,
				intervalMs: minuteMs,
			},
		});
		record(`job ${id} handed in: ${status}`);
		if (status === 200) {
			accepted.push(id);
		}

		await sleep(submitPeriodMs); // eslint-disable-line no-await-in-loop -- one job after the other
	}

	record(`${accepted.length} jobs were accepted; the traffic ends`);
	await sleep(finishMs);

	const ask = async id => {
		const untilMs = Date.now() + askMs;
		for (let attempt = 0; Date.now() < untilMs; attempt += 1) {
			// eslint-disable-next-line no-await-in-loop -- until it is answered
			const {status, body} = await call({
				address: cluster.frontends[attempt % cluster.frontends.length], path: `/alarm/${id}`, headers, timeoutMs: consumerDeadlineMs,
			});
			if (status === 200 || status === 410) {
				return `${status} ${body?.state ?? ''}`;
			}

			await sleep(300); // eslint-disable-line no-await-in-loop -- until it is answered
		}

		return 'no answer';
	};

	const answers = await Promise.all(accepted.map(async id => ({id, answer: await ask(id)})));
	for (const {id, answer} of answers) {
		record(`job ${id} asked for: ${answer}`);
	}

	for (const {name, exits} of cluster.controls) {
		record(`${name}: ${exits.length} exits that nobody asked for (${exits.join(', ')})`);
	}

	const lost = answers.filter(({answer}) => !answer.startsWith('200'));
	return lost.length === 0
		? []
		: [`LOST: ${lost.length} of ${accepted.length} accepted jobs are not known or get no answer, ${finishMs / 1000} s after the traffic and for ${askMs / 1000} s more`];
});
