/**
 * Plans commands and proposes them, on a leader whose lease is confirmed by a quorum.
 */
import type {MonotonicMs, TimerService} from '@samphiremill/common';
import {
	createTeamGrantsState, listLimits, listTeamLimitReports, planTeamLimitGrants, planViews, type ControlCommand, type ControlState, type NodeState,
} from '@samphiremill/core';
import {planPeriodMs} from './constants.js';
import type {ProposalResult, StructuredLogger} from './types.js';

type Planner = (input: {
	readonly control: ControlState;
	readonly node: NodeState;
	readonly nowMs: MonotonicMs;
}) => readonly ControlCommand[];

const planners: readonly Planner[] = [
	({control, node, nowMs}) => planViews(control.views.values(), node.membership.view, nowMs),
	({control, node}) => planTeamLimitGrants({
		state: control.escrow ?? createTeamGrantsState(),
		limits: listLimits(control).map(({id: team, maximumRunningJobs: limit}) => ({team, limit})),
		views: [...control.views.values()],
		reports: listTeamLimitReports(node.escrow),
	}),
];

/**
 * Starts the leader's periodic planning. A node without the leader lease plans nothing.
 *
 * @param options - `seedCommands` are proposed while the log holds no records and no changes.
 * @returns A function that stops the planning.
 */
export function startLeaderPlanning({timers, hasLeaderLease, getControl, getNode, propose, seedCommands, log}: {
	readonly timers: TimerService;
	readonly hasLeaderLease: () => boolean;
	readonly getControl: () => ControlState;
	readonly getNode: () => NodeState;
	readonly propose: (command: ControlCommand) => Promise<ProposalResult>;
	readonly seedCommands: readonly ControlCommand[];
	readonly log: StructuredLogger;
}): () => void {
	let isPlanning = false;

	const proposeAll = async (commands: readonly ControlCommand[]) => {
		for (const command of commands) {
			// eslint-disable-next-line no-await-in-loop -- later commands may depend on earlier ones
			const result = await propose(command);
			log.debug(`planned ${command.type}`, {command, ok: result.ok});
		}
	};

	const planOnce = async () => {
		const control = getControl();
		const isEmpty = control.records.size === 0 && control.changes.size === 0;
		await proposeAll(isEmpty ? seedCommands : []);
		const input = {control: getControl(), node: getNode(), nowMs: timers.getNow()};
		await proposeAll(planners.flatMap(plan => plan(input)));
	};

	const cancel = timers.scheduleEvery(planPeriodMs, () => {
		if (isPlanning || !hasLeaderLease()) {
			return;
		}

		isPlanning = true;
		void planOnce().finally(() => {
			isPlanning = false;
		});
	});
	return cancel;
}
