/**
 * Stops runs that a minion lists although they are not, or no longer, assigned to it. They were started by an order
 * of an earlier leader, or by an order that arrived late.
 */
import {findTask, type MinionRecord, type TaskId} from '@samphiremill/core';
import type {SessionContext} from './session-context.js';
import type {RunningEntry} from './types.js';

/** The parts of a minion session that are used here. */
export type UnassignedRunsOptions = {
	readonly record: MinionRecord;
	readonly context: Pick<SessionContext, 'getLedger' | 'log' | 'metrics'>;
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
};

/** The handling of unassigned runs in one session. */
export type UnassignedRuns = {
	/** Stops the runs. Each run is logged once for as long as it stays listed. */
	readonly stop: (entries: readonly RunningEntry[]) => void;
};

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
