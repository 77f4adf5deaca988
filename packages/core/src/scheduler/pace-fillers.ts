/**
 * Sets how fast fillers run beside tasks that serve users. The load on those tasks changes within seconds, so
 * the pace is cut fast when a tail latency comes near its limit, and raised in small steps.
 */
import {
	fillerSlowdownFactor, fillerSpeedUpPercent, tailSpeedUpShare, tailSlowdownShare,
} from './constants.js';

/** The tail latency of a serving task, and its limit. */
export type TailLatency = {
	readonly tailMs: number;
	readonly boundMs: number;
};

const fullPacePercent = 100;
const minimumPacePercent = 5;

/**
 * Returns the pace to set for a filler, in whole percent.
 *
 * @param tails - The tail latencies of the serving tasks on the same minion.
 * @param pacePercent - The filler's current pace.
 */
export function getFillerPacePercent(tails: readonly TailLatency[], pacePercent: number): number {
	const worst = Math.max(0, ...tails.map(({tailMs, boundMs}) => tailMs / boundMs));
	if (worst >= 1) {
		return 0;
	}

	if (worst >= tailSlowdownShare) {
		const slowed = Math.floor(pacePercent * fillerSlowdownFactor);
		return slowed < minimumPacePercent ? 0 : slowed;
	}

	return worst <= tailSpeedUpShare ? Math.min(fullPacePercent, pacePercent + fillerSpeedUpPercent) : pacePercent;
}
