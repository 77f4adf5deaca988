import {getRequiredEntryHosts} from './entry-hosts.js';
import type {HostMove, MoveCommand, PlanMovesInput} from './types.js';

/**
 * Plans the next step of each host that is on its way.
 *
 * @param input - The committed state, and what the leader sees.
 * @returns The commands to propose.
 */
export function planMoveSteps(input: PlanMovesInput): readonly MoveCommand[] {
	return input.moves.moves.flatMap(move => planStep(move, input) ?? []);
}

function planStep(move: HostMove, input: PlanMovesInput): MoveCommand | undefined {
	const {worker, epoch} = move;
	if (shouldCancel(move, input)) {
		return {type: 'moves/cancel', worker, epoch};
	}

	if (move.isDrained) {
		const isDown = input.context.waves.unavailable.some(other => other.worker === worker);
		return isDown ? undefined : {type: 'moves/adopt', worker, epoch};
	}

	return planDrainedStep(move, input);
}

/** A host that is down cannot be drained, and one whose target is gone has nowhere to go. */
function shouldCancel({worker, to, isDrained}: HostMove, {context: {records, waves}}: PlanMovesInput): boolean {
	const isGone = !records.workers.some(({id}) => id === worker) || !records.pools.some(({id}) => id === to);
	return isGone || (!isDrained && waves.unavailable.some(other => other.worker === worker));
}

function planDrainedStep(move: HostMove, input: PlanMovesInput): MoveCommand | undefined {
	const {context, platform, entryHosts, releases, nowMs, cfg} = input;
	const {worker, epoch} = move;
	const host = platform.find(other => other.worker === worker);
	const release = releases.find(other => other.worker === worker && other.epoch === epoch);
	if (release === undefined || host?.intake !== 'closed' || host.runningTasks > 0) {
		return undefined;
	}

	const acknowledgedBy = entryHosts.filter(({appliedIndex}) => appliedIndex >= release.index).map(({node}) => node);
	const silent = getRequiredEntryHosts({move, context}).filter(node => !acknowledgedBy.includes(node));
	const isSettled = silent.length === 0 || nowMs - release.seenAtMs > cfg.leaseWaitMs;
	return isSettled
		? {
			type: 'moves/hostDrained', worker, epoch, acknowledgedBy, expired: silent,
		}
		: undefined;
}
