/**
 * Keeps errors and malformed answers of a minion port from the sessions. A relay's answer, for example, is passed on
 * unread, and an error in one call must not end the session of its minion.
 */
import {describeError} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import {longestMinionClockMs} from './constants.js';
import type {
	HoldReport, MinionAnswer, MinionPort, MinionTarget, StartRefusal,
} from './types.js';

const answersWithoutValue: ReadonlySet<unknown> = new Set(['otherLife', 'unhealthy', 'notSent', 'noAnswer']);

const startRefusals: ReadonlySet<unknown> = new Set<StartRefusal>(['fenced', 'oldRun', 'lateDeadline', 'noRoom', 'badTicket', 'other']);

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null;

const isListedRun = (row: unknown) => isObject(row) && typeof row.task === 'string' && Number.isSafeInteger(row.run);

const isHoldValue = (value: unknown): value is HoldReport | 'fenced' => value === 'fenced' || (isObject(value)
	&& (value.bornAtMs === undefined || typeof value.bornAtMs === 'number')
	&& Array.isArray(value.running) && value.running.every(row => isListedRun(row))
	&& Array.isArray(value.finished) && value.finished.every(row => isListedRun(row) && isObject(row) && Number.isSafeInteger(row.number)));

const isStartValue = (value: unknown) => isObject(value) && (value.type === 'started' || (value.type === 'refused' && startRefusals.has(value.reason)));

const isAnswer = (answer: unknown, isValue: (value: unknown) => boolean) => {
	if (!isObject(answer)) {
		return false;
	}

	if (answer.type === 'answered') {
		const {clockMs, value} = answer;
		return typeof clockMs === 'number' && clockMs >= 0 && clockMs <= longestMinionClockMs && isValue(value);
	}

	return answersWithoutValue.has(answer.type) || (answer.type === 'invalid' && typeof answer.message === 'string');
};

/**
 * Creates a port whose calls never reject and return well-formed answers only.
 *
 * A hold call that fails or gets a malformed answer ends as `invalid`, so that the session waits before the next one.
 * An order ends as `noAnswer`, since it may have been executed.
 */
export function createCheckedMinionPort(port: MinionPort, log: StructuredLogger): MinionPort {
	/** Minions whose last call failed. Each is logged once until a call succeeds. */
	const failing = new Set<string>();

	const recordFailure = ({minion, life}: MinionTarget, call: string, problem: string) => {
		if (!failing.has(life)) {
			failing.add(life);
			log.error(`the ${call} call to minion ${minion} ended unexpectedly: ${problem}`, {minion, life, call});
		}
	};

	const check = async <Value>(call: string, {target, send, isValue, otherwise}: {
		readonly target: MinionTarget;
		readonly send: () => Promise<MinionAnswer<Value>>;
		readonly isValue: (value: unknown) => boolean;
		readonly otherwise: MinionAnswer<never>;
	}): Promise<MinionAnswer<Value>> => {
		try {
			const answer = await send();
			if (isAnswer(answer, isValue)) {
				failing.delete(target.life);
				return answer;
			}

			recordFailure(target, call, 'the answer is malformed');
		} catch (err) {
			recordFailure(target, call, describeError(err));
		}

		return otherwise;
	};

	return {
		hold: async order => check('hold', {
			target: order.target, send: async () => port.hold(order), isValue: isHoldValue, otherwise: {type: 'invalid', message: 'no usable answer'},
		}),
		start: async order => check('start', {
			target: order.target, send: async () => port.start(order), isValue: isStartValue, otherwise: {type: 'noAnswer'},
		}),
		stop: async order => check('stop', {
			target: order.target, send: async () => port.stop(order), isValue: value => value === 'stopping' || value === 'fenced', otherwise: {type: 'noAnswer'},
		}),
		pace: async order => check('pace', {
			target: order.target, send: async () => port.pace(order), isValue: value => value === 'paced' || value === 'fenced', otherwise: {type: 'noAnswer'},
		}),
		retain(addresses) {
			failing.clear();
			port.retain(addresses);
		},
	};
}
