import {getFleetView, type PoolDemand} from '@samphiremill/core';
import {createPlatformClient} from '../platform/client.js';
import type {Runtime} from '../runtime/types.js';
import type {ControllerDecision} from './types.js';
import {startWaveController} from './wave-controller.js';

/**
 * Starts waves and moves in a running daemon, where its settings name a platform.
 *
 * @param options - The daemon, whether it leads, how far its records are applied, and the demand of
 *   pools where it is known; without it hosts move only when operators ask for it.
 * @returns Ends the planning; the period under way still finishes.
 */
export function startDaemonWaveController({runtime, hasLeaderLease, getAppliedIndex, getDemand = () => []}: {
	readonly runtime: Runtime;
	readonly hasLeaderLease: () => boolean;
	readonly getAppliedIndex: () => number;
	readonly getDemand?: () => readonly PoolDemand[];
}): () => void {
	const {settings: {platformUrl}, timers, log} = runtime;
	if (platformUrl === undefined) {
		log.info('no platform is named in the settings: waves and moves stay where they are', {});
		return () => undefined;
	}

	const platform = createPlatformClient({url: platformUrl});
	const controller = startWaveController({
		timers,
		platform,
		hasLeaderLease,
		getControlState: runtime.getControl,
		getAppliedIndex,
		getFleet: () => getFleetView(runtime.getState().membership, {cfg: runtime.membershipConfig, nowMs: timers.getNow()}),
		// Without reports of applied indexes a move waits out the configuration leases.
		getEntryHosts: () => [],
		getDemand,
		getLearnedRunTime: () => undefined,
		getWallClockMs: runtime.getWallClock,
		async propose(command) {
			const result = await runtime.propose(command);
			return result.ok ? result.value.answer : undefined;
		},
		log(decision) {
			logDecision(runtime, decision);
		},
	});
	return () => {
		void controller.stop().then(async () => platform.close());
	};
}

function logDecision({log}: Runtime, decision: ControllerDecision): void {
	if (decision.type === 'proposed') {
		const {command, outcome} = decision;
		const write = outcome?.type === 'applied' ? log.info : log.warn;
		write(`${command.type} ${outcome?.type ?? 'unanswered'}`, {command, outcome});
		return;
	}

	const {call, err} = decision;
	const write = err === undefined ? log.info : log.warn;
	write(`platform ${call.operation} ${err?.type ?? 'done'}`, {...call, err});
}
