/**
 * Decides what a minion's answer means that it follows a newer leader. It may be false, and a leader that gave way for it
 * would be deposed by one minion, and each leader after it. But if it is true, this leader must not act any more.
 *
 * A command that is committed in this term after the answer shows that no newer leader had been elected by then. Minions
 * may still hold to a higher token, for example of a log that was lost. If most of them do, only later terms reach them.
 */
import {waitFor, type TimerService} from '@samphiremill/common';
import type {IncarnationId} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {fenceCheckPeriodMs, fenceCheckTimeoutMs, fenceSettleMs} from './constants.js';

export type FenceCheckOptions = {
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	/** Commits a command in this term. Resolves to whether this host leads the term for certain. */
	readonly confirmLead: () => Promise<boolean>;
	/** Returns how many minions answer and follow this leader, without those given. */
	readonly countFollowers: (without: ReadonlySet<IncarnationId>) => number;
	/** Lets another host lead. */
	readonly giveWay: () => void;
};

/** The check of one leader. */
export type FenceCheck = {
	/** Records that the incarnation answered that it follows a newer leader. */
	readonly recordFenced: (life: IncarnationId) => void;
	/** Whether this host must not act, since a newer leader may have been elected. */
	readonly isPending: () => boolean;
};

type Refusal = {
	readonly sinceMs: number;
	readonly latestMs: number;
	readonly checkedAtMs: number;
};

export function createFenceCheck({timers, log, confirmLead, countFollowers, giveWay}: FenceCheckOptions): FenceCheck {
	/** The minions whose answer was false, as far as this host knows. */
	const refusals = new Map<IncarnationId, Refusal>();
	let pausing = 0;
	let hasGivenWay = false;

	const dropOldRefusals = () => {
		for (const [life, {latestMs}] of refusals) {
			if (timers.getNow() - latestMs > fenceSettleMs) {
				refusals.delete(life);
			}
		}
	};

	const giveWayOnce = (reason: string, life: IncarnationId) => {
		if (!hasGivenWay) {
			hasGivenWay = true;
			log.warn(`gives way, since a minion follows a newer leader: ${reason}`, {life, fencedBy: refusals.size});
			giveWay();
		}
	};

	const isFollowedByFew = () => {
		dropOldRefusals();
		const lasting = new Set([...refusals].filter(([, {sinceMs}]) => timers.getNow() - sinceMs >= fenceSettleMs).map(([life]) => life));
		return lasting.size > countFollowers(new Set(refusals.keys()));
	};

	const check = async (life: IncarnationId) => {
		const isLeading = await Promise.race([confirmLead(), waitFor(timers, fenceCheckTimeoutMs).then(() => false)]);
		if (!isLeading) {
			giveWayOnce('this host cannot confirm that it leads', life);
		} else if (isFollowedByFew()) {
			giveWayOnce('most minions do', life);
		}
	};

	const checkFirst = async (life: IncarnationId) => {
		pausing += 1;
		try {
			await check(life);
		} finally {
			pausing -= 1;
		}
	};

	return {
		recordFenced(life) {
			dropOldRefusals();
			const nowMs = timers.getNow();
			const known = refusals.get(life);
			const isDue = known === undefined || nowMs - known.checkedAtMs >= fenceCheckPeriodMs;
			refusals.set(life, {sinceMs: known?.sinceMs ?? nowMs, latestMs: nowMs, checkedAtMs: isDue ? nowMs : known.checkedAtMs});
			if (known === undefined) {
				log.warn('a minion answers that it follows a newer leader', {life});
				void checkFirst(life);
			} else if (isDue) {
				// The first answer of this minion was false, so this one does not keep the others waiting.
				void check(life);
			}
		},
		isPending: () => pausing > 0 || hasGivenWay,
	};
}
