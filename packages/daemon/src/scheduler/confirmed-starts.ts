/**
 * Tracks the jobs of which a minion has confirmed a run, by its answer to the start or by a listing. An assignment confirms
 * nothing: its minion may be lost. The log learns of these jobs with commands that are committed anyway.
 */
import type {JobId} from '@samphiremill/common';
import {
	findTask, type Job, type Ledger, type LedgerCommand, type TaskId,
} from '@samphiremill/core';

/** Most jobs that one command carries, so that they add little to its bytes. The others wait for the next one. */
const maximumStartedJobs = 100;

/** The jobs that have started, as far as one leader knows. */
export type ConfirmedStarts = {
	/** Records that a minion has confirmed a run of the task. */
	readonly record: (task: TaskId) => void;
	/** Returns whether a run of the job was confirmed to this leader, or was recorded in the log. */
	readonly has: (job: Job) => boolean;
	/** Adds the jobs that the log lacks to a command that can carry them; returns other commands as they are. */
	readonly addTo: (command: LedgerCommand) => LedgerCommand;
	/** Records that a command that may carry jobs was not applied, so that a later one carries them. */
	readonly recordUnapplied: (command: LedgerCommand) => void;
};

/** Creates the record of a new leader, to which no minion has confirmed a run yet. */
export function createConfirmedStarts(getLedger: () => Ledger): ConfirmedStarts {
	const known = new WeakSet<Job>();
	const unrecorded = new Set<JobId>();

	return {
		record(id) {
			const job = findTask(getLedger(), id)?.job;
			if (job === undefined || job.isStartConfirmed || known.has(job)) {
				return;
			}

			known.add(job);
			unrecorded.add(job.id);
		},
		has: job => job.isStartConfirmed || known.has(job),
		addTo(command) {
			if (unrecorded.size === 0 || (command.type !== 'runs/ended' && command.type !== 'minion/left' && command.type !== 'minion/joined')) {
				return command;
			}

			const startedJobs = [...unrecorded].slice(0, maximumStartedJobs);
			for (const id of startedJobs) {
				unrecorded.delete(id);
			}

			return {...command, startedJobs};
		},
		recordUnapplied(command) {
			for (const id of 'startedJobs' in command ? command.startedJobs ?? [] : []) {
				unrecorded.add(id);
			}
		},
	};
}
