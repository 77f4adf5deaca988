import type {WorkerId} from '@samphiremill/common';
import {getRemainingBudget, needsReboot} from './availability.js';
import {getRebootId} from './plan-host-steps.js';
import type {
	FleetRecords, PlatformHost, WaveHost, WavesState, WaveState,
} from './types.js';

/**
 * Lists the hosts that are to take no new work on account of a wave. A host that has been rebooted,
 * or that is to be given back, opens first and counts as available only after that.
 *
 * @param input - The committed state, and what the platform said last of hosts that are aside.
 * @returns The hosts whose intake is to be closed.
 */
export function listHostsToClose({state, records, platform}: {
	state: WavesState;
	records: FleetRecords;
	platform: readonly PlatformHost[];
}): readonly WorkerId[] {
	const seen = new Map(platform.map(host => [host.worker, host]));
	return state.waves.flatMap(wave => wave.hosts
		.filter(host => shouldCloseIntake({
			wave, host, seen: seen.get(host.worker), state, records,
		}))
		.map(({worker}) => worker));
}

function shouldCloseIntake({wave, host, seen, state, records}: {
	wave: WaveState;
	host: WaveHost;
	seen: PlatformHost | undefined;
	state: WavesState;
	records: FleetRecords;
}): boolean {
	if (host.phase === 'draining') {
		const pool = records.ownership.find(({worker}) => worker === host.worker)?.phase.pool;
		return wave.phase === 'running' && pool !== undefined && getRemainingBudget({pool, state, records}) >= 0;
	}

	if (!needsReboot(host)) {
		return false;
	}

	const id = getRebootId({wave: wave.wave, worker: host.worker, attempt: host.attempt});
	return seen?.reboot?.id !== id || seen.reboot.state === 'running';
}
