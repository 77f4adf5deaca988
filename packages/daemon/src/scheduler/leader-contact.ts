/**
 * When a leader last answered an entry host. The loss and the return of that contact are logged.
 */
import type {NodeId, TimerService} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import type {SchedulerMetrics} from './metrics.js';

/** An entry host's contact with the leader. */
export type LeaderContact = {
	readonly recordAnswer: () => void;
	/** Whether no leader has answered for the timeout, counted from the start before the first answer. */
	readonly isLost: () => boolean;
	/** Whether a leader has answered within the timeout. */
	readonly isEstablished: () => boolean;
	/** Logs a contact that is lost or back since the last call, and sets the gauges. */
	readonly report: () => void;
};

/**
 * Creates a contact that is not yet established.
 *
 * @param options - `timeoutMs` is longer than a change of leader takes; `getHosts` returns the control hosts that are asked.
 */
export function createLeaderContact({timers, log, metrics, timeoutMs, getHosts}: {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly timeoutMs: number;
	readonly getHosts: () => readonly NodeId[];
}): LeaderContact {
	const startedAtMs = timers.getNow();
	let lastAnswerAtMs: number | undefined;
	let lostSinceMs: number | undefined;

	const getSilenceMs = () => timers.getNow() - (lastAnswerAtMs ?? startedAtMs);
	const isLost = () => getSilenceMs() >= timeoutMs;

	const reportLoss = () => {
		lostSinceMs = lastAnswerAtMs ?? startedAtMs;
		metrics.count('leader_contact_lost_total');
		log.warn(`no leader has answered for ${Math.round(getSilenceMs())} ms; callers are refused`, {silentMs: Math.round(getSilenceMs()), hosts: getHosts()});
	};

	const reportReturn = (sinceMs: number) => {
		lostSinceMs = undefined;
		log.info('a leader answers again', {lostMs: Math.round(timers.getNow() - sinceMs)});
	};

	return {
		recordAnswer() {
			lastAnswerAtMs = timers.getNow();
		},
		isLost,
		isEstablished: () => lastAnswerAtMs !== undefined && !isLost(),
		report() {
			metrics.setGauges('entry_host', new Map([['kind="leaderSilenceMs"', Math.round(getSilenceMs())]]));
			if (isLost() && lostSinceMs === undefined) {
				reportLoss();
			} else if (!isLost() && lostSinceMs !== undefined) {
				reportReturn(lostSinceMs);
			}
		},
	};
}
