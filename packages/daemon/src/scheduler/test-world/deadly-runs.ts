/**
 * Tasks that crash each minion that starts them.
 */
import type {TaskId} from '@samphiremill/core';
import {parseTaskName} from '../../fleet-checks/task-name.js';
import {visibleCrashRestartMs} from './constants.js';
import type {EndIncarnation, FakeFleet} from './minions.js';
import type {Simulation} from './simulation.js';
import type {FakeMinion} from './types.js';

/** The deadly tasks of a simulation. */
export type DeadlyRuns = {
	/** Each minion that starts the task crashes this long after the start. */
	readonly add: (task: TaskId, afterMs: number) => void;
	readonly countCrashes: (task: TaskId) => number;
	/** Notes a start, and plans the crash if the task is deadly. */
	readonly recordStart: (minion: FakeMinion, id: TaskId) => void;
	/** Crashes the minion; its host refuses connections from then on. */
	readonly crashVisibly: (minion: FakeMinion) => void;
};

/**
 * Creates the deadly tasks of a simulation; at first there are none.
 *
 * @param simulation - The shared state.
 * @param fleet - The minions.
 * @param endIncarnation - Ends a minion.
 * @returns The deadly tasks.
 */
export function createDeadlyRuns(simulation: Simulation, fleet: FakeFleet, endIncarnation: EndIncarnation): DeadlyRuns {
	const deadlyTasks = new Map<TaskId, {readonly afterMs: number; crashCount: number}>();

	const crashVisibly = (minion: FakeMinion) => {
		if (!minion.isGone) {
			minion.isRefusing = true;
			endIncarnation(minion, {downMs: visibleCrashRestartMs});
		}
	};

	/** The other members of a gang end with the one that was lost. */
	const breakGang = (id: TaskId) => {
		for (const other of simulation.findStep(id)?.isGang === true ? fleet.listRunning() : []) {
			if (parseTaskName(other.id).job === parseTaskName(id).job) {
				fleet.finish(other.minion, other.id, 'gangBroken');
			}
		}
	};

	return {
		add(task, afterMs) {
			deadlyTasks.set(task, {afterMs, crashCount: 0});
		},
		countCrashes: task => deadlyTasks.get(task)?.crashCount ?? 0,
		recordStart(minion, id) {
			const deadly = deadlyTasks.get(id);
			if (deadly === undefined) {
				return;
			}

			simulation.timers.scheduleOnce(deadly.afterMs, () => {
				if (minion.runs.has(id) && !minion.isGone) {
					deadly.crashCount += 1;
					simulation.checks.record({type: 'minionCrashedUnder', task: id});
					crashVisibly(minion);
					breakGang(id);
				}
			});
		},
		crashVisibly,
	};
}
