/**
 * Reports once a second the long-running tasks that have waited longest, with the number of minions that each reason
 * keeps from taking them, so that a wait beside free capacity can be traced to its cause.
 */
import type {PoolId} from '@samphiremill/common';
import {
	countRefusals, type Ledger, type RefusalQuery, type UsableMinion,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {maximumReportedWaits, reportedWaitMs} from './constants.js';
import type {UnusableReason} from './minion-session.js';
import type {WaitingTask} from './waiting-tasks.js';

/** What keeps all tasks from a minion. Logged, so the names are values of log fields. */
export type MinionGate = UnusableReason | 'maintenance' | 'move';

/** A minion of a pool, as a plan of starts sees it. */
export type PoolMinion = {
	readonly minion: UsableMinion;
	/** What keeps all tasks from the minion; `undefined` if tasks may be assigned to it. */
	readonly gate: MinionGate | undefined;
};

/** The sources of the report. */
export type WaitingReportOptions = {
	readonly log: StructuredLogger;
	readonly getLedger: () => Ledger;
	readonly listMinions: (pool: PoolId) => readonly PoolMinion[];
	readonly isAllowed: RefusalQuery['isAllowed'];
	readonly getWaitMs: RefusalQuery['getWaitMs'];
	readonly getAwaitedMinion?: RefusalQuery['getAwaitedMinion'];
};

const countByGate = (gates: readonly MinionGate[]) => {
	const counts: Partial<Record<MinionGate, number>> = {};
	for (const gate of gates) {
		counts[gate] = (counts[gate] ?? 0) + 1;
	}

	return counts;
};

const createEntry = ({task, waitMs}: WaitingTask, {getLedger, listMinions, isAllowed, getWaitMs, getAwaitedMinion}: WaitingReportOptions) => {
	const minions = listMinions(task.job.pool);
	const usable = minions.filter(({gate}) => gate === undefined).map(({minion}) => minion);
	const placement = countRefusals({
		ledger: getLedger(), task, minions: usable, isAllowed, getWaitMs, getAwaitedMinion,
	});
	return {
		id: task.id,
		waitMs: Math.round(waitMs),
		lastRun: task.lastRunNumber,
		isAssigned: task.runs.length > 0,
		pool: task.job.pool,
		minions: minions.length,
		refusals: {...countByGate(minions.flatMap(({gate}) => gate ?? [])), ...placement?.refusals},
		accepting: placement?.acceptCount ?? 0,
		isTeamAtMaximum: placement?.isTeamAtMaximum ?? false,
	};
};

/** Logs the tasks that have waited for longer than a moment, the longest first; nothing if there are none. */
export function reportWaitingTasks(waiting: readonly WaitingTask[], options: WaitingReportOptions): void {
	const long = waiting.filter(({waitMs}) => waitMs >= reportedWaitMs);
	if (long.length === 0) {
		return;
	}

	const tasks = long.slice(0, maximumReportedWaits).map(wait => createEntry(wait, options));
	options.log.info('long-running tasks wait', {tasks, omitted: long.length - tasks.length});
}
