/**
 * Gangs on the simulated minions: the members of one run wait for each other, work together, and end together.
 */
import type {TaskId} from '@samphiremill/core';
import {getStepName} from '../../fleet-checks/task-name.js';
import type {FakeFleet, PlacedRun} from './minions.js';
import type {Simulation} from './simulation.js';

/** The gangs of a simulation. */
export type Gangs = {
	/** Whether the task waits for the others of its gang. */
	readonly isMember: (task: TaskId) => boolean;
	/** Notes the start of a member, which waits until all are present. */
	readonly join: (member: PlacedRun) => void;
};

/**
 * Creates the gangs of a simulation. There are none unless gangs have a timeout.
 *
 * @param simulation - The shared state.
 * @param fleet - The minions.
 * @returns The gangs.
 */
export function createGangs(simulation: Simulation, fleet: FakeFleet): Gangs {
	const {timers, random, settings: {gangTimeoutMs, failureChance}} = simulation;

	const isMember = (task: TaskId) => gangTimeoutMs !== undefined && simulation.findStep(task)?.isGang === true;

	const listMembers = ({id, run}: PlacedRun) =>
		fleet.listRunning().filter(other => getStepName(other.id) === getStepName(id) && other.run.run === run.run);

	const begin = (members: readonly PlacedRun[]) => {
		const isLasting = members.some(({id}) => simulation.findStep(id)?.isLasting === true);
		const durations = members.map(({minion}) => fleet.drawRunDurationMs(minion, isLasting));
		const endsAtMs = timers.getNow() + Math.max(...durations);
		const hasFailure = random() < failureChance;
		for (const {minion, run} of members) {
			run.workingSinceMs = timers.getNow();
			run.endsAtMs = endsAtMs;
			run.ending = hasFailure || isLasting || timers.getNow() < minion.failsUntilMs ? 'failed' : 'done';
		}
	};

	const endAlone = ({minion, id, run}: PlacedRun) => {
		if (minion.runs.get(id) === run && run.workingSinceMs === Number.POSITIVE_INFINITY && !minion.isGone) {
			fleet.finish(minion, id, 'gangIncomplete');
		}
	};

	fleet.subscribeToEnds((ended, ending) => {
		for (const member of isMember(ended.id) && ending !== 'done' ? listMembers(ended) : []) {
			fleet.finish(member.minion, member.id, 'gangBroken');
		}
	});

	return {
		isMember,
		join(member) {
			const {run} = member;
			run.endsAtMs = Number.POSITIVE_INFINITY;
			run.workingSinceMs = Number.POSITIVE_INFINITY;
			const members = listMembers(member);
			if (members.length === simulation.findStep(member.id)?.count) {
				begin(members);
				return;
			}

			timers.scheduleOnce(gangTimeoutMs ?? 0, () => {
				endAlone(member);
			});
		},
	};
}
