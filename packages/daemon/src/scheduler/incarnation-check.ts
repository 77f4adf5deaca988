/**
 * Checks a sign that the minion of a session is no longer at its address. A single answer may be false, and if it were
 * believed, the tasks of the minion would start elsewhere while they still run there.
 */
import {waitFor, type TimerService} from '@samphiremill/common';
import {orderRetryDelayMs} from './constants.js';

/** What an answer says of who is at the address: a minion of another id, or a later start of the same one. */
export type IncarnationSign = {readonly type: 'otherMinion'} | {readonly type: 'otherStart'; readonly bornAtMs: number};

export type IncarnationCheckOptions = {
	readonly timers: TimerService;
	/** Asks the minion who it is, without a change to it. Resolves to `undefined` if it does not say. */
	readonly ask: () => Promise<IncarnationSign | 'own' | undefined>;
	/** Whether the session is still open. */
	readonly isOpen: () => boolean;
	/** Whether all runs of the session's incarnation have certainly ended. */
	readonly isLeaseOver: () => boolean;
	/** The longest time for which a lease may be valid that was granted before the sign, in milliseconds. */
	readonly longestLeaseMs: number;
};

/** The check of one session. While it goes on, the session starts nothing, grants no time and acknowledges no end. */
export type IncarnationCheck = {
	readonly isPending: () => boolean;
	/**
	 * Asks the minion until two signs in a row agree, or the session's incarnation answers. If it says nothing, a sign counts
	 * once the lease is over. Resolves to the sign; `undefined` if it was false.
	 */
	readonly confirm: (sign: IncarnationSign) => Promise<IncarnationSign | undefined>;
};

const isSameSign = (left: IncarnationSign, right: IncarnationSign) => left.type === 'otherStart'
	? right.type === 'otherStart' && left.bornAtMs === right.bornAtMs
	: right.type === 'otherMinion';

export function createIncarnationCheck({timers, ask, isOpen, isLeaseOver, longestLeaseMs}: IncarnationCheckOptions): IncarnationCheck {
	let pending: Promise<IncarnationSign | undefined> | undefined;

	const check = async (first: IncarnationSign): Promise<IncarnationSign | undefined> => {
		const untilMs = timers.getNow() + longestLeaseMs;
		let latest = first;
		while (isOpen()) {
			const found = await ask(); // eslint-disable-line no-await-in-loop -- until the minion says who it is
			if (found === 'own') {
				return undefined;
			}

			const isConfirmed = found !== undefined && isSameSign(found, latest);
			latest = found ?? latest;
			if (isConfirmed || isLeaseOver() || timers.getNow() > untilMs) {
				return latest;
			}

			await waitFor(timers, orderRetryDelayMs); // eslint-disable-line no-await-in-loop -- until the minion says who it is
		}

		return undefined;
	};

	return {
		isPending: () => pending !== undefined,
		async confirm(sign) {
			pending ??= check(sign).finally(() => {
				pending = undefined;
			});
			return pending;
		},
	};
}
