/**
 * The fencing tokens of calls to minions. A call names its minion and not the incarnation, so each session of a leader has a
 * higher token than the ones before it. Once an incarnation has answered its session, it refuses what is still under way for
 * a former one: a hold that would grant it a lease by the former clock and acknowledge ends that it counts anew, and a start.
 */
import type {MinionPort} from './types.js';

/** Limit on the sessions of one term that have a token of their own, so that all tokens of a later term are higher. */
const sessionsPerTerm = 1_000_000;

/** The tokens of one leader. */
export type CallTokens = {
	/** Returns the token of the next session. */
	readonly take: () => number;
	/** Returns the highest token in use. */
	readonly getLatest: () => number;
};

/** Creates the tokens of the leader of a term; none is in use. */
export function createCallTokens(term: number): CallTokens {
	let count = 0;
	const getLatest = () => (term * sessionsPerTerm) + count;

	return {
		take() {
			count = Math.min(count + 1, sessionsPerTerm - 1);
			return getLatest();
		},
		getLatest,
	};
}

/** Returns the term of the leader that sends calls with this token. */
export function getTermOfToken(fencingToken: number): number {
	return Math.floor(fencingToken / sessionsPerTerm);
}

/** Creates a port that sends all calls with this token. */
export function createTokenPort(port: MinionPort, fencingToken: number): MinionPort {
	return {
		hold: async order => port.hold({...order, fencingToken}),
		start: async order => port.start({...order, fencingToken}),
		stop: async order => port.stop({...order, fencingToken}),
		pace: async order => port.pace({...order, fencingToken}),
		retain: port.retain,
	};
}
