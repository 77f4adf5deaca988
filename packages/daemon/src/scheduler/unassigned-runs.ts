/**
 * Stops runs that a minion lists although they are not, or no longer, assigned to it. They were started by an order
 * of an earlier leader, or by an order that arrived late.
 */
import {findTask, type MinionRecord, type TaskId} from '@samphiremill/core';
import {unassignedRunCountMs} from './constants.js';
import type {SessionContext} from './session-context.js';
import type {RunningEntry} from './types.js';

/** The parts of a minion session that are used here. */
export type UnassignedRunsOptions = {
	readonly record: MinionRecord;
	readonly context: Pick<SessionContext, 'getLedger' | 'log' | 'metrics' | 'timers'>;
	readonly sendStop: (task: TaskId, run: number) => Promise<boolean>;
};

/** The handling of unassigned runs in one session. */
export type UnassignedRuns = {
	/** Stops the runs. Each run is logged once for as long as it stays listed. */
	readonly stop: (entries: readonly RunningEntry[]) => void;
	/** Lists the tasks of the runs in the latest listing. A run that stays listed for long is taken for a false row. */
	readonly listTasks: () => readonly TaskId[];
};

export function createUnassignedRuns({record, context: {getLedger, log, metrics, timers}, sendStop}: UnassignedRunsOptions): UnassignedRuns {
	/** The runs of the latest listing, with the times at which they were first listed. */
	let listedRuns: ReadonlyMap<string, {readonly task: TaskId; readonly sinceMs: number}> = new Map();

	const getName = ({task, run}: RunningEntry) => `${task}#${run}`;

	const logOnce = (entry: RunningEntry) => {
		const {task: id, run} = entry;
		if (listedRuns.has(getName(entry))) {
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

			listedRuns = new Map(entries.map(entry => {
				const name = getName(entry);
				return [name, listedRuns.get(name) ?? {task: entry.task, sinceMs: timers.getNow()}];
			}));
		},
		listTasks: () => listedRuns.size === 0
			? []
			: [...listedRuns.values()].filter(({sinceMs}) => timers.getNow() - sinceMs < unassignedRunCountMs).map(({task}) => task),
	};
}
