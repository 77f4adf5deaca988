/**
 * Calls to minions that other control hosts (relays) execute for the leader. With hundreds of minions the leader
 * spends most of its processor time on connections to them, while the other control hosts are idle.
 * A relay makes no decisions: it forwards the call and returns the answer.
 */
import {
	assertNever, rankMembers, type MinionId, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {PeerTransport} from '../peers/index.js';
import {getTermOfToken} from './call-token.js';
import {
	maximumDirectMinions, relayBackoffMs, relayCheckPeriodMs, relayTimeoutMarginMs,
} from './constants.js';
import type {MinionAnswer, MinionPort} from './types.js';

/** The peer method on which control hosts accept calls to minions. */
export const minionCallMethod = 'minion/call';

type OrderOf<Kind extends 'hold' | 'start' | 'stop' | 'pace'> = Parameters<MinionPort[Kind]>[0];

/** A call to a minion, as sent to a relay. */
export type MinionCall
	= | {readonly type: 'hold'; readonly order: OrderOf<'hold'>}
		| {readonly type: 'start'; readonly order: OrderOf<'start'>}
		| {readonly type: 'stop'; readonly order: OrderOf<'stop'>}
		| {readonly type: 'pace'; readonly order: OrderOf<'pace'>};

/**
 * Executes a call for the leader. A call from a term older than `term`, the newest one that this host knows, is
 * not sent.
 */
export async function executeMinionCall(call: MinionCall, {minions, term}: {readonly minions: MinionPort; readonly term: number}): Promise<MinionAnswer<unknown>> {
	if (getTermOfToken(call.order.fencingToken) < term) {
		return {type: 'notSent'};
	}

	switch (call.type) {
		case 'hold': {
			return minions.hold(call.order);
		}

		case 'start': {
			return minions.start(call.order);
		}

		case 'stop': {
			return minions.stop(call.order);
		}

		case 'pace': {
			return minions.pace(call.order);
		}

		default: {
			return assertNever(call);
		}
	}
}

export type RelayedMinionPortOptions = {
	/** The leader's own connections, used for calls for which no relay can be reached. */
	readonly direct: MinionPort;
	readonly transport: Pick<PeerTransport, 'request'>;
	readonly timers: TimerService;
	/** Lists the other control hosts that are reachable; empty while direct calls are cheaper. */
	readonly listRelays: () => readonly NodeId[];
};

const isAnswer = (value: unknown): value is MinionAnswer<unknown> => typeof value === 'object' && value !== null && 'type' in value && typeof value.type === 'string';

/** Whether the calls to this many minions go through relays. A few cost the leader little. */
export function needsRelays(minionCount: number): boolean {
	return minionCount > maximumDirectMinions;
}

/**
 * Chooses the control host that takes a minion's reports. A host that does not lead passes them on to the leader, in one of the
 * frames that it sends anyway; an HTTP request and its answer cost the leader several times as much.
 *
 * @param self - The host that has the report now.
 * @param relays - The other control hosts that are reachable; empty while reports to the leader are cheaper.
 * @returns The host, or `undefined` while no leader is known.
 */
export function chooseReportHost({minion, self, leader, relays}: {
	readonly minion: MinionId;
	readonly self: NodeId;
	readonly leader: NodeId | undefined;
	readonly relays: readonly NodeId[];
}): NodeId | undefined {
	if (leader === undefined || relays.length === 0) {
		return leader;
	}

	return leader === self ? rankMembers(minion, relays)[0] : self;
}

/** Calls to minions since the start of the process, by the way they took. */
export type MinionCallCounts = {
	readonly relayedCalls: number;
	/** Calls that the leader made itself. */
	readonly directCalls: number;
	/** Calls that a relay did not carry to the minion, or without an answer of the minion. */
	readonly unansweredCalls: number;
};

/** The port of the leader to the minions, and what went through it. */
export type RelayedMinionPort = {
	readonly port: MinionPort;
	readonly getCounts: () => MinionCallCounts;
};

/** Creates a port that sends the calls for each minion through one relay, chosen by the minion's address. */
export function createRelayedMinionPort({direct, transport, timers, listRelays}: RelayedMinionPortOptions): RelayedMinionPort {
	const counts = {relayedCalls: 0, directCalls: 0, unansweredCalls: 0};
	const rankedByAddress = new Map<string, readonly NodeId[]>();
	/** Relays that are temporarily not used for a minion, with the time until which they are avoided. */
	const avoidedByAddress = new Map<string, ReadonlyMap<NodeId, number>>();
	let relays: readonly NodeId[] = [];
	let checkedAtMs = Number.NEGATIVE_INFINITY;

	const refreshRelays = () => {
		if (timers.getNow() - checkedAtMs < relayCheckPeriodMs) {
			return;
		}

		checkedAtMs = timers.getNow();
		const found = listRelays().toSorted();
		if (found.join(' ') !== relays.join(' ')) {
			relays = found;
			rankedByAddress.clear();
		}
	};

	const rankRelays = (address: string): readonly NodeId[] => {
		const ranked = rankedByAddress.get(address) ?? rankMembers(address, relays);
		rankedByAddress.set(address, ranked);
		return ranked;
	};

	const chooseRelay = (address: string): NodeId | undefined => {
		refreshRelays();
		const avoided = avoidedByAddress.get(address);
		return rankRelays(address).find(relay => (avoided?.get(relay) ?? 0) <= timers.getNow());
	};

	// A relay may be unable to reach a minion that other relays still reach. Calls move to the next relay and not
	// to the leader: when many minions answer slowly, the leader would end up with all calls.
	const avoidRelay = (address: string, relay: NodeId) => {
		const known = [...avoidedByAddress.get(address) ?? []].filter(([, untilMs]) => untilMs > timers.getNow());
		avoidedByAddress.set(address, new Map([...known, [relay, timers.getNow() + relayBackoffMs]]));
	};

	const callDirectly = async (call: MinionCall) => {
		counts.directCalls += 1;
		return executeMinionCall(call, {minions: direct, term: getTermOfToken(call.order.fencingToken)});
	};

	const relayCall = async (call: MinionCall, relay: NodeId): Promise<MinionAnswer<unknown>> => {
		counts.relayedCalls += 1;
		const result = await transport.request({
			to: relay, method: minionCallMethod, params: call, timeoutMs: call.order.timeoutMs + relayTimeoutMarginMs,
		});
		if (result.ok) {
			// Its value is checked by the leader's port.
			return isAnswer(result.value) ? result.value : {type: 'noAnswer'};
		}

		return {type: result.err.type === 'peer/notSent' ? 'notSent' : 'noAnswer'};
	};

	const send = async (call: MinionCall): Promise<MinionAnswer<unknown>> => {
		const {address} = call.order.target;
		const relay = chooseRelay(address);
		const answer: MinionAnswer<unknown> = relay === undefined ? {type: 'notSent'} : await relayCall(call, relay);
		if (relay !== undefined && (answer.type === 'noAnswer' || answer.type === 'notSent')) {
			counts.unansweredCalls += 1;
			avoidRelay(address, relay);
		}

		// A call that may have reached the minion is not resent here; the caller decides on a retry. Where nothing listens, as at
		// each worker that was switched off, the leader would be refused too, so the next call asks the next relay.
		return answer.type === 'notSent' && answer.isRefused !== true ? callDirectly(call) : answer;
	};

	/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the answer to a call of a kind has that kind's value */
	const port: MinionPort = {
		hold: async order => await send({type: 'hold', order}) as Awaited<ReturnType<MinionPort['hold']>>,
		start: async order => await send({type: 'start', order}) as Awaited<ReturnType<MinionPort['start']>>,
		stop: async order => await send({type: 'stop', order}) as Awaited<ReturnType<MinionPort['stop']>>,
		pace: async order => await send({type: 'pace', order}) as Awaited<ReturnType<MinionPort['pace']>>,
		retain(addresses) {
			for (const address of [...rankedByAddress.keys(), ...avoidedByAddress.keys()]) {
				if (!addresses.has(address)) {
					rankedByAddress.delete(address);
					avoidedByAddress.delete(address);
				}
			}

			direct.retain(addresses);
		},
	};
	/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */
	return {port, getCounts: () => ({...counts})};
}
