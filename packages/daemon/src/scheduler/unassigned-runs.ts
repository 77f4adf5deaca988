/**
 * Runs that a minion lists although nobody assigned them to it, or no longer: started by an order of an
 * earlier leader, or by one that arrived late. They are stopped.
 */
import {findTask, type MinionRecord, type TaskId} from '@samphiremill/core';
import type {SessionContext} from './session-context.js';
import type {RunningEntry} from './types.js';

/** What is needed of the session. */
export type UnassignedRunsOptions = {
	readonly record: MinionRecord;
	readonly context: Pick<SessionContext, 'getLedger' | 'log' | 'metrics'>;
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
};

/** The unassigned runs of one session. */
export type UnassignedRuns = {
	/** Stops the runs; each is logged once as long as it is listed. */
	readonly stop: (entries: readonly RunningEntry[]) => void;
};

/**
 * @param options - What is needed of the session.
 * @returns The unassigned runs.
 */
export function createUnassignedRuns({record, context: {getLedger, log, metrics}, sendStop}: UnassignedRunsOptions): UnassignedRuns {
	let loggedRuns = new Set<string>();

	const logOnce = ({task: id, run}: RunningEntry) => {
		if (loggedRuns.has(`${id}#${run}`)) {
			return;
		}

		const assigned = findTask(getLedger(), id)?.runs ?? [];
		metrics.count('unassigned_runs_total');
		log.warn(`run ${run} of task ${id} is stopped: minion ${record.minion} lists it, and it is not assigned to it`, {
			id,
			run,
			minion: record.minion,
			life: record.life,
			wasGivenUp: getLedger().incarnations.get(record.life)?.lapsed.get(id) === run,
			assigned: assigned.map(({number, life}) => `${number}@${life}`),
		});
	};

	return {
		stop(entries) {
			for (const entry of entries) {
				logOnce(entry);
				void sendStop(entry.task, entry.run);
			}

			loggedRuns = new Set(entries.map(({task, run}) => `${task}#${run}`));
		},
	};
}
