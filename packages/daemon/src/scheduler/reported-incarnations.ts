/**
 * Decides whether an incarnation that is known from a report only may replace one that the ledger holds. The report may
 * come from another writer. If both were believed, they would replace each other, and tasks would start twice: the
 * runs of a replaced incarnation count as ended.
 *
 * So the incarnation decides that answers a hold call, whose answer says when it started.
 */
import type {IncarnationId, MinionRecord} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {holdTimeoutMarginMs} from './constants.js';
import type {MinionSession} from './minion-session.js';
import type {SessionRegistry} from './session-registry.js';
import type {MinionPort} from './types.js';

export type ReportedIncarnationsOptions = {
	/** Returns a token for a call to the minion that changes nothing, also for its session. */
	readonly getCallToken: (record: MinionRecord) => number;
	readonly log: StructuredLogger;
	readonly sessions: SessionRegistry;
	readonly minions: MinionPort;
	/** Returns how many runs are assigned to an incarnation. */
	readonly countRuns: (life: IncarnationId) => number;
	/** Removes an incarnation that has no runs and does not answer. */
	readonly remove: (life: IncarnationId) => Promise<boolean>;
};

export type ReportedIncarnations = {
	/** Resolves to whether a reported incarnation that is not in the ledger may join it. */
	readonly mayJoin: (record: MinionRecord) => Promise<boolean>;
	/**
	 * Resolves to whether the ledger holds a reported incarnation under an address at which it does not answer, while it
	 * answers at the reported one. Such an incarnation has no runs, and may join anew.
	 */
	readonly isAtOtherAddress: (record: MinionRecord) => Promise<boolean>;
};

const maximumLoggedIncarnations = 1000;

const isRival = (record: MinionRecord, known: MinionRecord) => known.life !== record.life
	&& (known.minion === record.minion || known.worker === record.worker || known.address === record.address);

export function createReportedIncarnations({getCallToken, log, sessions, minions, countRuns, remove}: ReportedIncarnationsOptions): ReportedIncarnations {
	const pending = new Map<IncarnationId, Promise<boolean>>();
	/** Refused incarnations that were logged. */
	const logged = new Set<IncarnationId>();

	// Asks with a call that changes nothing: it acknowledges no end and grants no lease.
	const askStart = async (record: MinionRecord): Promise<number | 'notNamed' | 'noAnswer'> => {
		const {life, minion, bornAtMs, address} = record;
		const answer = await minions.hold({
			target: {
				life, minion, bornAtMs, address,
			}, fencingToken: getCallToken(record), lastSeen: 0, deadlineMs: undefined, waitMs: 0, timeoutMs: holdTimeoutMarginMs,
		});
		return answer.type === 'answered' && answer.value !== 'fenced' ? answer.value.bornAtMs ?? 'notNamed' : 'noAnswer';
	};

	/** Asks each minion at each address once. */
	const createQuestions = () => {
		const asked = new Map<string, ReturnType<typeof askStart>>();
		return async (record: MinionRecord): Promise<boolean> => {
			const key = `${record.minion} ${record.address}`;
			const question = asked.get(key) ?? askStart(record);
			asked.set(key, question);
			const start = await question;
			return start === 'notNamed' || start === record.bornAtMs;
		};
	};

	// The ledger takes no incarnation beside one that started later. A later one that does not answer, for example of a
	// clock that was wrong, gives way.
	const removeLater = async ({record, handleNextIncarnation}: MinionSession, reported: MinionRecord): Promise<boolean> => {
		if (record.minion === reported.minion && record.address === reported.address) {
			await handleNextIncarnation();
			return true;
		}

		return countRuns(record.life) === 0 && remove(record.life);
	};

	const logRefusal = ({minion, life, worker, address}: MinionRecord, rivals: readonly MinionSession[]) => {
		if (logged.size >= maximumLoggedIncarnations) {
			logged.clear();
		}

		if (!logged.has(life)) {
			logged.add(life);
			log.warn(`ignored a report of minion ${minion}: another incarnation answers in its place`, {
				minion, life, worker, address, answering: rivals.map(({record}) => record.life),
			});
		}
	};

	const decide = async (record: MinionRecord): Promise<boolean> => {
		const rivals = [...sessions.values()].filter(session => isRival(record, session.record));
		if (rivals.length === 0) {
			return true;
		}

		const answersAsItself = createQuestions();
		const later = rivals.filter(session => session.record.bornAtMs > record.bornAtMs);
		// A minion that was restarted or moved: its earlier incarnations have ended, and their answers would be waited for in vain.
		if (later.length === 0 && await answersAsItself(record)) {
			return true;
		}

		// Asked at the same time: the report waits for less than a second.
		const [isReportedAnswering, ...areRivalsAnswering] = await Promise.all([record, ...rivals.map(session => session.record)].map(async asked => answersAsItself(asked)));
		const answering = rivals.filter((_, index) => areRivalsAnswering[index]);
		if (isReportedAnswering !== true) {
			if (answering.length > 0) {
				logRefusal(record, answering);
			}

			return answering.length === 0;
		}

		if (later.some(session => answering.includes(session))) {
			logRefusal(record, answering);
			return false;
		}

		const removals = await Promise.all(later.map(async session => removeLater(session, record)));
		return removals.every(Boolean);
	};

	return {
		async isAtOtherAddress(record) {
			const session = sessions.get(record.life);
			if (session === undefined || session.record.address === record.address || session.isAnswering() || countRuns(record.life) > 0) {
				return false;
			}

			const start = await askStart(record);
			return start === record.bornAtMs && countRuns(record.life) === 0;
		},
		async mayJoin(record) {
			const decision = pending.get(record.life) ?? decide(record).finally(() => {
				pending.delete(record.life);
			});
			pending.set(record.life, decision);
			return decision;
		},
	};
}
