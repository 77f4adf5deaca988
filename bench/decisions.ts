/**
 * Measures how many scheduling decisions per second one core makes as the numbers of workers, teams and waiting jobs grow.
 *
 * Each job is submitted, queued, placed and dispatched. Then its first sent byte and its answer are reported.
 */
import process from 'node:process';
import {createSeededRandom} from '@samphiremill/common';
import type {JobsEffect} from '@samphiremill/core';
import {
	createBenchNode, createJob, createMinions, formatTable, toPool, toTeam, twoYearTarget, type FleetSize,
} from './fleet.js';

type Running = {
	readonly job: (JobsEffect & {readonly type: 'jobs/dispatch'})['job'];
	readonly attempt: number;
};

type Measurement = {
	readonly decisions: number;
	/** Processor time of this process in milliseconds. Other processes on the machine do not add to it. */
	readonly cpuMs: number;
};

const warmUpJobs = 5000;

function isDispatch(effect: JobsEffect): effect is JobsEffect & {readonly type: 'jobs/dispatch'} {
	return effect.type === 'jobs/dispatch';
}

function measure(size: FleetSize, waitingJobs: number, jobs: number): Measurement {
	const random = createSeededRandom(3);
	const node = createBenchNode(random, {maximumWaitingJobs: Number.POSITIVE_INFINITY});
	const running: Running[] = [];
	let submitted = 0;
	let decisions = 0;
	const applyEffects = (effects: readonly JobsEffect[]) => {
		for (const {job, attempt} of effects.filter(effect => isDispatch(effect))) {
			decisions += 1;
			running.push({job, attempt});
			node.send({type: 'jobs/firstByteSent', job, attempt}, 0);
		}
	};

	const submitNextJob = () => {
		const pool = toPool(submitted % size.pools);
		const team = toTeam(Math.floor(random() * size.teams));
		const spec = createJob({
			number: submitted, pool, team, nowMs: 0,
		});
		submitted += 1;
		applyEffects(node.send({type: 'jobs/submitted', spec}, 0));
	};

	const answerRandomJob = () => {
		const index = Math.floor(random() * running.length);
		const answered = running[index];
		const last = running.pop();
		if (answered === undefined || last === undefined) {
			return;
		}

		if (index < running.length) {
			running[index] = last;
		}

		applyEffects(node.send({type: 'jobs/answered', ...answered, status: 200}, 0));
	};

	node.send({type: 'jobs/minionsChanged', minions: createMinions(size)}, 0);
	const slots = size.workers * size.slots;
	for (let index = 0; index < slots + waitingJobs; index += 1) {
		submitNextJob();
	}

	const runJobs = (count: number) => {
		for (let index = 0; index < count; index += 1) {
			submitNextJob();
			answerRandomJob();
		}
	};

	runJobs(warmUpJobs);
	decisions = 0;
	const cpuBefore = process.cpuUsage();
	runJobs(jobs);
	const {user, system} = process.cpuUsage(cpuBefore);
	return {decisions, cpuMs: (user + system) / 1000};
}

const measuredJobs = Number(process.argv[2] ?? 20_000);
const cases: ReadonlyArray<readonly [FleetSize, number]> = [
	[{
		...twoYearTarget, workers: 40, pools: 5, teams: 6,
	}, 1000],
	[{...twoYearTarget, workers: 310}, 1000],
	[twoYearTarget, 1000],
	[{...twoYearTarget, workers: 1240}, 1000],
	[{...twoYearTarget, teams: 6}, 10_000],
	[{...twoYearTarget, teams: 57}, 10_000],
	[{...twoYearTarget, teams: 570}, 10_000],
	[twoYearTarget, 10],
	[twoYearTarget, 10_000],
	[twoYearTarget, 100_000],
];

const rows = cases.map(([size, waitingJobs]) => {
	const {decisions, cpuMs} = measure(size, waitingJobs, measuredJobs);
	return [
		size.workers,
		size.pools,
		size.teams,
		waitingJobs,
		decisions,
		Math.round(decisions * 1000 / cpuMs),
		(cpuMs * 1000 / decisions).toFixed(1),
	];
});
console.log(formatTable([['workers', 'pools', 'teams', 'waiting', 'decisions', 'decisions/s of processor time', 'µs a decision'], ...rows]));
