import {isAside} from './availability.js';
import type {
	AdvanceHostCommand, ObservedWorker, PlanWaveInput, PlatformHost, PlatformReboot, WaveHost, WaveState,
} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/** One host of a wave, with what the leader and the platform observe of it. */
type HostContext = {
	readonly wave: WaveState;
	readonly host: WaveHost;
	readonly observed: ObservedWorker | undefined;
	readonly platform: PlatformHost | undefined;
	readonly input: PlanWaveInput;
	readonly draft: WaveDraft;
};

/**
 * Creates the id of a reboot. Every leader creates the same id for the same grant, so a reboot can safely be
 * requested more than once.
 */
export function getRebootId({wave, worker, attempt}: Pick<WaveState, 'wave'> & Pick<WaveHost, 'worker' | 'attempt'>): string {
	return `${wave}:${worker}:${attempt}`;
}

/**
 * Proposes the next step of each host that is aside or failed, and the removal of hosts whose record was
 * deleted.
 *
 * @param draft - The plan that the commands are added to.
 */
export function planHostSteps(input: PlanWaveInput, draft: WaveDraft): void {
	const observed = new Map(input.fleet.workers.map(worker => [worker.worker, worker]));
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
					wave, host, observed: observed.get(host.worker), platform: platform.get(host.worker), input, draft,
				});
			}
		}
	}
}

function planHostStep(context: HostContext): void {
	switch (context.host.phase) {
		case 'granted': {
			if (!propose(context, 'waves/hostDraining')) {
				propose(context, 'waves/revokeGrant');
			}

			return;
		}

		case 'draining': {
			planDrainingStep(context);
			return;
		}

		case 'rebooting': {
			planRebootingStep(context);
			return;
		}

		case 'failed': {
			if (hasRecovered(context)) {
				propose(context, 'waves/hostReturned');
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

function planDrainingStep(context: HostContext): void {
	const {platform, draft, input: {nowMs}} = context;
	const drained = createHostCommand({...context, nowMs, type: 'waves/hostDrained'});
	// Rejected if the wave is not running or if failures have exceeded the budget. The host counts as
	// unavailable until its intake is open again.
	if (!draft.canApply(drained)) {
		if (platform?.intake === 'open') {
			propose(context, 'waves/recallDrain');
		}
	} else if (platform?.intake === 'closed' && platform.runningTasks === 0) {
		draft.propose(drained);
	}
}

function planRebootingStep(context: HostContext): void {
	const {wave, host, input, draft} = context;
	const reboot = getReboot(context);
	if (reboot !== undefined && !host.isRebootAccepted) {
		propose(context, 'waves/hostRebooting');
	}

	if (reboot?.state === 'finished' && hasReturned(context)) {
		propose(context, 'waves/hostReturned');
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
 * Checks whether a host has returned: it accepts work and was observed alive after the end of its reboot. A host
 * that has condition `up` only because its lease has not expired yet does not count.
 */
function hasReturned(context: HostContext): boolean {
	const reboot = getReboot(context);
	if (context.observed?.condition !== 'up' || context.platform?.intake !== 'open' || reboot?.state !== 'finished') {
		return false;
	}

	return context.observed.lastSeenAtMs > (reboot.finishedSeenAtMs ?? 0);
}

/**
 * Checks whether a failed host counts as returned. A host whose reboot was refused has not been maintained. A
 * relapsed host needs no reboot of this wave: it may have been rebooted for another reason.
 */
function hasRecovered(context: HostContext): boolean {
	const {failure} = context.host;
	if (failure === 'relapsed') {
		return context.observed?.condition === 'up';
	}

	return failure !== 'rebootRefused' && hasReturned(context);
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
