/**
 * Slows the tasks that use what others leave before they harm those, and gives them speed back.
 */
import {
	findTask, getFillerPacePercent, getStep, type Ledger,
} from '@samphiremill/core';
import type {MinionSession} from './minion-session.js';

/**
 * @param sessions - The sessions with the minions.
 * @param ledger - The ledger.
 */
export function paceFillers(sessions: Iterable<MinionSession>, ledger: Ledger): void {
	for (const session of sessions) {
		const runs = session.listRuns().map(run => ({run, task: findTask(ledger, run.task)}));
		const fillers = runs.filter(({task}) => task !== undefined && getStep(task).isFiller);
		if (fillers.length === 0) {
			continue;
		}

		const tails = runs.flatMap(({run, task}) => {
			const boundMs = task && getStep(task).tailBoundMs;
			return boundMs === undefined || boundMs === 0 ? [] : [{tailMs: run.gauge, boundMs}];
		});
		for (const {run} of fillers) {
			session.setPace(run.task, getFillerPacePercent(tails, run.pacePercent));
		}
	}
}
