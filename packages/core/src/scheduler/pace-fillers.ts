/**
 * How fast fillers may run beside tasks that serve users. Load pattern: what a filler disturbs changes
 * within seconds, so its pace falls fast when a tail nears its bound, and comes back in small steps.
 */
import {
	fillerSlowdownFactor, fillerSpeedUpPercent, tailSpeedUpShare, tailSlowdownShare,
} from './constants.js';

/** The tail of a serving task's response times, against its bound. */
export type TailLatency = {
	readonly tailMs: number;
	readonly boundMs: number;
};

const fullPacePercent = 100;
const minimumPacePercent = 5;

/**
 * @param tails - The serving tasks beside the filler.
 * @param pacePercent - The filler's present pace.
 * @returns The pace to set, in whole percent.
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
