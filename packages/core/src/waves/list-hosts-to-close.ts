import type {WorkerId} from '@samphiremill/common';
import {getRemainingBudget, needsReboot} from './availability.js';
import {getRebootId} from './plan-host-steps.js';
import type {
	FleetRecords, PlatformHost, WaveHost, WavesState, WaveState,
} from './types.js';

/**
 * Lists the hosts whose intake of new tasks is to be closed because of a wave. The intake of a host whose
 * reboot ended, or whose drain is recalled, is opened before the host counts as available.
 *
 * @param input - `platform` is the last report of the platform about the hosts that are aside.
 */
export function listHostsToClose({state, records, platform}: {
	state: WavesState;
	records: FleetRecords;
	platform: readonly PlatformHost[];
}): readonly WorkerId[] {
	const platformHosts = new Map(platform.map(host => [host.worker, host]));
	return state.waves.flatMap(wave => wave.hosts
		.filter(host => shouldCloseIntake({
			wave, host, platformHost: platformHosts.get(host.worker), state, records,
		}))
		.map(({worker}) => worker));
}

function shouldCloseIntake({wave, host, platformHost, state, records}: {
	wave: WaveState;
	host: WaveHost;
	platformHost: PlatformHost | undefined;
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
	return platformHost?.reboot?.id !== id || platformHost.reboot.state === 'running';
}
