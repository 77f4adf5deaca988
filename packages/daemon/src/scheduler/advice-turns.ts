/**
 * Calls the advice service, which handles one call of this host at a time. A call that waits there can't be taken back, and one that is given up is
 * worked on all the same, so there are only as many calls under way as keep the service busy. What waits stays with the caller, who sends the most
 * urgent call once there is a turn.
 */
import type {MinionId, TimerService} from '@samphiremill/common';
import {
	adviceRetryDelayMs, adviceTimeoutMarginMs, longestAdviceRetryDelayMs, longestAdviceTimeoutMs, maximumAdviceCalls,
} from './constants.js';
import type {AdvicePort} from './types.js';

/** One call for advice. */
export type AdviceCall = {
	readonly step: string;
	readonly minions: readonly MinionId[];
	/** How long the service says that it takes for the call, in milliseconds. */
	readonly announcedMs: number;
};

/** The calls to the advice service. */
export type AdviceTurns = {
	/** Whether a call may be sent now. */
	readonly hasTurn: () => boolean;
	/** Sends a call, whether or not there is a turn. */
	readonly call: (call: AdviceCall) => ReturnType<AdvicePort['advise']>;
	/**
	 * Returns how long the service takes for the calls under way and for what waits, in milliseconds.
	 *
	 * @param waitingMs - How long the service says that it takes for what waits, in milliseconds.
	 */
	readonly getWaitMs: (waitingMs: number) => number;
};

/**
 * Creates the calls of one leader; none is under way.
 *
 * @param options - `onTurn` is called when a pause after a failed call is over.
 */
export function createAdviceTurns({advice, timers, onTurn}: {
	readonly advice: AdvicePort;
	readonly timers: Pick<TimerService, 'getNow' | 'scheduleOnce'>;
	readonly onTurn: () => void;
}): AdviceTurns {
	const underWay = new Set<AdviceCall>();
	let pausedUntilMs = 0;
	let failureCount = 0;
	/** How many times as long as expected a call may take. A slow service gets more time, or it would work on calls that were given up only. */
	let timeoutFactor = 1;
	/** How many times as long as announced the service worked on the call that it answered last, and when that was. */
	let slowness = 1;
	let answeredAtMs = 0;

	const pause = () => {
		const delayMs = Math.min(longestAdviceRetryDelayMs, adviceRetryDelayMs * (2 ** failureCount));
		failureCount += 1;
		pausedUntilMs = timers.getNow() + delayMs;
		timers.scheduleOnce(delayMs, onTurn);
	};

	const sumAnnouncedMs = (calls: readonly AdviceCall[]) => calls.reduce((sum, {announcedMs}) => sum + announcedMs, 0);

	const isPaused = () => timers.getNow() < pausedUntilMs;

	return {
		// What waits has a call under way before it, or a pause.
		getWaitMs: waitingMs => underWay.size > 0 || isPaused() ? slowness * (waitingMs + sumAnnouncedMs([...underWay])) : 0,
		hasTurn: () => underWay.size < maximumAdviceCalls && !isPaused(),
		async call(call) {
			const announcedMs = sumAnnouncedMs([...underWay, call]);
			const expectedMs = announcedMs + adviceTimeoutMarginMs;
			const timeoutMs = Math.min(longestAdviceTimeoutMs, expectedMs * timeoutFactor);
			const sentAtMs = timers.getNow();
			underWay.add(call);
			const result = await advice.advise({step: call.step, minions: call.minions, timeoutMs}).finally(() => {
				underWay.delete(call);
			});
			const tookMs = timers.getNow() - sentAtMs;
			if (result.ok) {
				failureCount = 0;
				timeoutFactor = Math.max(1, 2 * tookMs / expectedMs);
				slowness = Math.max(1, (timers.getNow() - Math.max(sentAtMs, answeredAtMs)) / Math.max(1, call.announcedMs));
				answeredAtMs = timers.getNow();
				return result;
			}

			// A refused connection ends at once and says nothing of the service's pace.
			if (result.err === 'noAnswer' && tookMs >= timeoutMs) {
				timeoutFactor = 2 * timeoutMs / expectedMs;
			}

			pause();
			return result;
		},
	};
}
