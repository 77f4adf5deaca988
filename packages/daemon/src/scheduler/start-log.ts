/**
 * Log lines and counters of the planned starts: what was assigned, what the commit refused, and what became of neither is known.
 */
import {
	countStepRuns, findTask, getStep, type Ledger, type RefusedAssignment, type RunAssignment,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {listForLog, maximumLoggedItems} from './logged-list.js';
import type {SchedulerMetrics} from './metrics.js';

/** Dependencies of the log of starts. */
export type StartLogOptions = {
	readonly getLedger: () => Ledger;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
};

/** The log of starts of one leader. A plan is named by its number. */
export type StartLog = {
	readonly recordAssigned: (plan: number, runs: readonly RunAssignment[]) => void;
	readonly recordRefused: (plan: number, runs: readonly RefusedAssignment[]) => void;
	readonly recordUnknown: (plan: number, runs: readonly RunAssignment[]) => void;
};

const maximumLoggedStarts = 24;

const formatRun = ({task, run}: RunAssignment) => `${task}#${run}`;

export function createStartLog({getLedger, log, metrics}: StartLogOptions): StartLog {
	const getMinion = ({life}: RunAssignment) => getLedger().incarnations.get(life)?.record.minion ?? life;

	// Where the step has a maximum for a minion: how many of its tasks the ledger counts there.
	const describeCount = ({task: id, life}: RunAssignment) => {
		const task = findTask(getLedger(), id);
		const maximum = task && getStep(task).maximumPerMinion;
		return task === undefined || maximum === undefined ? '' : `,${countStepRuns(task, life)}of${maximum}`;
	};

	const describeStart = (assignment: RunAssignment) => {
		const {task: id, run} = assignment;
		const isCopy = (findTask(getLedger(), id)?.runs.length ?? 0) > 1;
		return `${id.slice(id.indexOf('.') + 1)}#${run}@${getMinion(assignment)}${isCopy ? ',copy' : ''}${describeCount(assignment)}`;
	};

	return {
		recordAssigned(plan, runs) {
			const byJob = new Map<string, RunAssignment[]>();
			for (const run of runs) {
				metrics.count('runs_assigned_total');
				const job = run.task.slice(0, run.task.indexOf('.'));
				const assigned = byJob.get(job) ?? [];
				byJob.set(job, assigned);
				assigned.push(run);
			}

			for (const [job, assigned] of byJob) {
				for (let first = 0; first < assigned.length; first += maximumLoggedItems) {
					log.info(`job ${job}: ${assigned.length} tasks start`, {
						id: job, plan, starts: listForLog(assigned.slice(first)).map(assignment => describeStart(assignment)).join(' '),
					});
				}
			}
		},
		recordRefused(plan, runs) {
			if (runs.length === 0) {
				return;
			}

			for (const {reason} of runs) {
				metrics.count('assignments_refused_total', reason);
			}

			log.info(`plan ${plan}: ${runs.length} starts are refused at commit`, {
				plan,
				refused: runs.slice(0, maximumLoggedStarts).map(refused => `${formatRun(refused)}@${getMinion(refused)} ${refused.reason}${describeCount(refused)}`),
			});
		},
		recordUnknown(plan, runs) {
			log.warn(`plan ${plan} of ${runs.length} starts: outcome unknown`, {plan, tasks: runs.slice(0, maximumLoggedStarts).map(run => formatRun(run))});
		},
	};
}
