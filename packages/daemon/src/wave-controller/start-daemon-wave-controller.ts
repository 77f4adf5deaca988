import {getFleetView, type PoolDemand} from '@samphiremill/core';
import {createPlatformClient} from '../platform/client.js';
import type {Runtime} from '../runtime/types.js';
import type {ControllerDecision} from './types.js';
import {startWaveController} from './wave-controller.js';

/**
 * Starts the wave controller of a running daemon. Does nothing if the settings name no platform.
 *
 * @param options - Without `getDemand`, hosts move only at an operator's request.
 * @returns A function that stops the planning; a period that is in progress still completes.
 */
export function startDaemonWaveController({runtime, hasLeaderLease, getAppliedIndex, getDemand = () => []}: {
	readonly runtime: Runtime;
	readonly hasLeaderLease: () => boolean;
	readonly getAppliedIndex: () => number;
	readonly getDemand?: () => readonly PoolDemand[];
}): () => void {
	const {settings: {platformUrl}, timers, log} = runtime;
	if (platformUrl === undefined) {
		log.info('the settings name no platform: waves and moves are not executed', {});
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
		// Without reports of applied indexes a move waits until the configuration leases have expired.
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
