/**
 * The lease that a minion which is back under its old id may hold by a call that was meant for its former incarnation: a hold or a start
 * that was on its way at the restart. Its deadline is on the former clock, far ahead of the new one, so the lease lasts as long as the minion
 * allows, whatever the leader grants. The ledger keeps that this is possible until it is over, so that each leader waits for it.
 */
import type {MinionRecord} from '@samphiremill/core';
import type {SessionContext} from './session-context.js';

/** What the foreign lease depends on. */
export type ForeignLeaseOptions = {
	readonly record: MinionRecord;
	readonly context: Pick<SessionContext, 'timers' | 'log' | 'fencingToken' | 'getLedger' | 'canAct' | 'commit'>;
	/** How long the longest lease that the minion accepts may last, in milliseconds. */
	readonly longestLeaseMs: number;
};

/** The foreign lease of one session. */
export type ForeignLease = {
	/** Until when it may be valid, on the monotonic clock; 0 if the minion follows no earlier incarnation. */
	readonly untilMs: number;
	/** Records in the log that it is over, once it is. */
	readonly settleIfOver: () => void;
};

/**
 * Opens the foreign lease of a session. A leader that has just taken over does not know when the minion started, so it counts from now.
 *
 * @param options - The minion, and the services of the leader.
 */
export function createForeignLease({record: {life, minion}, context, longestLeaseMs}: ForeignLeaseOptions): ForeignLease {
	const {timers, log, fencingToken, getLedger, canAct, commit} = context;
	const isPossible = () => getLedger().incarnations.get(life)?.mayHoldForeignLease === true;
	const untilMs = isPossible() ? timers.getNow() + longestLeaseMs : 0;
	let isSettling = false;

	const settle = async () => {
		isSettling = true;
		await commit({type: 'minion/settled', term: fencingToken, life});
		isSettling = false;
	};

	if (untilMs > 0) {
		log.info(`minion ${minion} follows an earlier incarnation and may hold a lease of its time`, {minion, life, longestLeaseMs: Math.round(longestLeaseMs)});
	}

	return {
		untilMs,
		settleIfOver() {
			if (!isSettling && timers.getNow() >= untilMs && isPossible() && canAct()) {
				void settle();
			}
		},
	};
}
