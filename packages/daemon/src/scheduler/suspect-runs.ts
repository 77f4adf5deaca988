/**
 * Finds the running tasks that may crash their minions: suspects whose run has not yet lasted long enough to clear them.
 */
import type {PoolId} from '@samphiremill/common';
import {
	findTask, getClearanceMs, isCrashSuspect, sharedLossMs, type IncarnationId, type Ledger, type RunningSuspect,
} from '@samphiremill/core';
import {newSuspectMs, suspectSpacingMarginMs} from './constants.js';
import type {MinionSession} from './minion-session.js';

/** The suspects that run now. */
export type SuspectRuns = {
	/** The suspect on each minion that has one. */
	readonly byLife: ReadonlyMap<IncarnationId, RunningSuspect>;
	/** Pools in which a suspect has just started, on a minion that answers or not. */
	readonly poolsWithNewSuspects: ReadonlySet<PoolId>;
};

export type SuspectRunsOptions = {
	readonly ledger: Ledger;
	readonly getSession: (life: IncarnationId) => Pick<MinionSession, 'getRun' | 'loss'> | undefined;
	/** The current time on the monotonic clock. */
	readonly nowMs: number;
};

/** Lists the suspects that run now. A run that has not been confirmed yet counts as one that has just started. */
export function findSuspectRuns({ledger, getSession, nowMs}: SuspectRunsOptions): SuspectRuns {
	const byLife = new Map<IncarnationId, RunningSuspect>();
	const poolsWithNewSuspects = new Set<PoolId>();
	for (const id of ledger.index.tasksWithLosses) {
		const task = findTask(ledger, id);
		if (task === undefined || !isCrashSuspect(task)) {
			continue;
		}

		for (const {life} of task.runs) {
			const session = getSession(life);
			const ranMs = nowMs - (session?.getRun(id)?.startedAtMs ?? nowMs);
			if (ranMs < getClearanceMs(task.losses) || session?.loss.getLostAtMs() !== undefined) {
				byLife.set(life, {job: task.job.id, isNew: ranMs < newSuspectMs || byLife.get(life)?.isNew === true});
			}

			if (ranMs < sharedLossMs + suspectSpacingMarginMs) {
				poolsWithNewSuspects.add(task.job.pool);
			}
		}
	}

	return {byLife, poolsWithNewSuspects};
}
