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
	/** Returns until when it may be valid, on the monotonic clock; 0 if the minion follows no earlier incarnation. */
	readonly getUntilMs: () => number;
	/** Records that the incarnation has answered its session. From then on it refuses calls for a former one. */
	readonly recordAnswer: () => void;
	/** Records in the log that it is over, once it is. */
	readonly settleIfOver: () => void;
};

/**
 * Opens the foreign lease of a session. A leader that has just taken over does not know when the minion first answered a session, so it
 * counts from now, and from the first answer to its own.
 *
 * @param options - The minion, and the services of the leader.
 */
export function createForeignLease({record: {life, minion}, context, longestLeaseMs}: ForeignLeaseOptions): ForeignLease {
	const {timers, log, fencingToken, getLedger, canAct, commit} = context;
	const isPossible = () => getLedger().incarnations.get(life)?.mayHoldForeignLease === true;
	const openedAtMs = timers.getNow();
	const wasPossible = isPossible();
	let answeredAtMs: number | undefined;
	let isSettling = false;

	const settle = async () => {
		isSettling = true;
		await commit({type: 'minion/settled', term: fencingToken, life});
		isSettling = false;
	};

	const getUntilMs = () => wasPossible ? (answeredAtMs ?? openedAtMs) + longestLeaseMs : 0;

	if (wasPossible) {
		log.info(`minion ${minion} follows an earlier incarnation and may hold a lease of its time`, {minion, life, longestLeaseMs: Math.round(longestLeaseMs)});
	}

	return {
		getUntilMs,
		recordAnswer() {
			answeredAtMs ??= timers.getNow();
		},
		settleIfOver() {
			if (!isSettling && answeredAtMs !== undefined && timers.getNow() >= getUntilMs() && isPossible() && canAct()) {
				void settle();
			}
		},
	};
}
