import {isAside} from './availability.js';
import type {
	AdvanceHostCommand, ObservedWorker, PlanWaveInput, PlatformHost, PlatformReboot, WaveHost, WaveState,
} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/** One host of a wave with all that is seen of it. */
type HostContext = {
	readonly wave: WaveState;
	readonly host: WaveHost;
	readonly seen: ObservedWorker | undefined;
	readonly platform: PlatformHost | undefined;
	readonly input: PlanWaveInput;
	readonly draft: WaveDraft;
};

/**
 * Names one reboot, so that asking the platform again is safe.
 *
 * @param input - The wave, its host and the grant.
 * @returns The same id for the same grant, on every leader.
 */
export function getRebootId({wave, worker, attempt}: Pick<WaveState, 'wave'> & Pick<WaveHost, 'worker' | 'attempt'>): string {
	return `${wave}:${worker}:${attempt}`;
}

/**
 * Proposes the next step of each host that has had its grant.
 *
 * @param input - What the leader sees of hosts and of the platform.
 * @param draft - The plan to extend.
 */
export function planHostSteps(input: PlanWaveInput, draft: WaveDraft): void {
	const seen = new Map(input.fleet.workers.map(worker => [worker.worker, worker]));
	const platform = new Map(input.platform.map(host => [host.worker, host]));
	const recorded = new Set(input.control.records.workers.map(({id}) => id));
	for (const wave of draft.getState().waves) {
		for (const host of wave.hosts) {
			if (!recorded.has(host.worker)) {
				draft.propose({
					type: 'waves/hostRemoved', wave: wave.wave, worker: host.worker, atMs: input.nowMs,
				});
			} else if (isAside(host) || host.phase === 'failed') {
				planHostStep({
					wave, host, seen: seen.get(host.worker), platform: platform.get(host.worker), input, draft,
				});
			}
		}
	}
}

function planHostStep(sight: HostContext): void {
	switch (sight.host.phase) {
		case 'granted': {
			if (!propose(sight, 'waves/hostDraining')) {
				propose(sight, 'waves/revokeGrant');
			}

			return;
		}

		case 'draining': {
			planDrainingStep(sight);
			return;
		}

		case 'rebooting': {
			planRebootingStep(sight);
			return;
		}

		case 'failed': {
			if (hasRecovered(sight)) {
				propose(sight, 'waves/hostReturned');
			}

			break;
		}

		case 'pending':
		case 'returned':
		case 'removed': {
			break;
		}
	}
}

function planDrainingStep(sight: HostContext): void {
	const {platform, draft, input: {nowMs}} = sight;
	const drained = createHostCommand({...sight, nowMs, type: 'waves/hostDrained'});
	// Refused once the wave stopped or failures have overdrawn the budget. The host counts as
	// unavailable until its intake is open again.
	if (!draft.canApply(drained)) {
		if (platform?.intake === 'open') {
			propose(sight, 'waves/recallDrain');
		}
	} else if (platform?.intake === 'closed' && platform.runningTasks === 0) {
		draft.propose(drained);
	}
}

function planRebootingStep(sight: HostContext): void {
	const {wave, host, input, draft} = sight;
	const reboot = getReboot(sight);
	if (reboot !== undefined && !host.isRebootAccepted) {
		propose(sight, 'waves/hostRebooting');
	}

	if (reboot?.state === 'finished' && hasReturned(sight)) {
		propose(sight, 'waves/hostReturned');
		return;
	}

	const isOverdue = input.nowMs - host.changedAtMs > input.cfg.rebootTimeoutMs;
	if (reboot?.state === 'failed' || isOverdue) {
		draft.propose({
			...createHostCommand({
				wave, host, nowMs: input.nowMs, type: 'waves/hostReturned',
			}),
			type: 'waves/hostFailed',
			failure: reboot?.state === 'failed' ? 'rebootRefused' : 'rebootTimeout',
		});
	}
}

/**
 * A host is back when it takes work again and was heard of after its reboot ended, not merely before
 * its lease ran out.
 */
function hasReturned(sight: HostContext): boolean {
	const reboot = getReboot(sight);
	if (sight.seen?.condition !== 'up' || sight.platform?.intake !== 'open' || reboot?.state !== 'finished') {
		return false;
	}

	return sight.seen.lastSeenAtMs > (reboot.finishedSeenAtMs ?? 0);
}

/** A refused host has not been maintained, and a relapsed one may have been rebooted for another reason since. */
function hasRecovered(sight: HostContext): boolean {
	const {failure} = sight.host;
	if (failure === 'relapsed') {
		return sight.seen?.condition === 'up';
	}

	return failure !== 'rebootRefused' && hasReturned(sight);
}

function getReboot({wave, host, platform}: HostContext): PlatformReboot | undefined {
	const id = getRebootId({wave: wave.wave, worker: host.worker, attempt: host.attempt});
	return platform?.reboot?.id === id ? platform.reboot : undefined;
}

function propose({wave, host, input, draft}: HostContext, type: AdvanceHostCommand['type']): boolean {
	return draft.propose(createHostCommand({
		wave, host, nowMs: input.nowMs, type,
	}));
}

function createHostCommand({wave, host, nowMs, type}: {
	wave: WaveState;
	host: WaveHost;
	nowMs: PlanWaveInput['nowMs'];
	type: AdvanceHostCommand['type'];
}): AdvanceHostCommand {
	return {
		type, wave: wave.wave, worker: host.worker, attempt: host.attempt, atMs: nowMs,
	};
}
