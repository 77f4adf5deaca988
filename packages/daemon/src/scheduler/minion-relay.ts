/**
 * Calls to minions that other control hosts carry out for the leader. With hundreds of minions most of a
 * leader's processor time goes into the connections to them, while the other control hosts are idle.
 * A relay decides nothing: it passes a call on and its answer back.
 */
import {
	assertNever, rankMembers, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {PeerTransport} from '../peers/index.js';
import {relayBackoffMs, relayCheckPeriodMs, relayTimeoutMarginMs} from './constants.js';
import type {MinionAnswer, MinionPort} from './types.js';

/** The method under which control hosts take calls to minions. */
export const minionCallMethod = 'minion/call';

type OrderOf<Kind extends 'hold' | 'start' | 'stop' | 'pace'> = Parameters<MinionPort[Kind]>[0];

/** One call to a minion. */
export type MinionCall
	= | {readonly type: 'hold'; readonly order: OrderOf<'hold'>}
		| {readonly type: 'start'; readonly order: OrderOf<'start'>}
		| {readonly type: 'stop'; readonly order: OrderOf<'stop'>}
		| {readonly type: 'pace'; readonly order: OrderOf<'pace'>};

/**
 * Carries out a call for the leader.
 *
 * @param call - The call.
 * @param host - The way to the minions, and the newest term that this host knows.
 * @returns The answer. A call of an older term is not sent.
 */
export async function executeMinionCall(call: MinionCall, {minions, term}: {readonly minions: MinionPort; readonly term: number}): Promise<MinionAnswer<unknown>> {
	if (call.order.fencingToken < term) {
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

/** What relayed calls need. */
export type RelayedMinionPortOptions = {
	/** The own connections, for what no relay can be reached for. */
	readonly direct: MinionPort;
	readonly transport: Pick<PeerTransport, 'request'>;
	readonly timers: TimerService;
	/** Other control hosts that are in reach; none while this one does better alone. */
	readonly listRelays: () => readonly NodeId[];
};

/**
 * @param options - What relayed calls need.
 * @returns The way to the minions, each by a relay of its own.
 */
export function createRelayedMinionPort({direct, transport, timers, listRelays}: RelayedMinionPortOptions): MinionPort {
	const rankedByAddress = new Map<string, readonly NodeId[]>();
	/** Relays that a minion is not called by for a while, and until when. */
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

	// A relay may have lost the way to a minion that others still reach. Where the minion itself is slow to answer,
	// the leader must not take its calls over: on a day on which many are, it would have all of them.
	const avoidRelay = (address: string, relay: NodeId) => {
		const known = [...avoidedByAddress.get(address) ?? []].filter(([, untilMs]) => untilMs > timers.getNow());
		avoidedByAddress.set(address, new Map([...known, [relay, timers.getNow() + relayBackoffMs]]));
	};

	const relayCall = async (call: MinionCall, relay: NodeId): Promise<MinionAnswer<unknown>> => {
		const result = await transport.request({
			to: relay, method: minionCallMethod, params: call, timeoutMs: call.order.timeoutMs + relayTimeoutMarginMs,
		});
		if (result.ok) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- links are authenticated, and both ends run the same build
			return result.value as MinionAnswer<unknown>;
		}

		return {type: result.err.type === 'peer/notSent' ? 'notSent' : 'noAnswer'};
	};

	const send = async (call: MinionCall): Promise<MinionAnswer<unknown>> => {
		const {address} = call.order.target;
		const relay = chooseRelay(address);
		const answer: MinionAnswer<unknown> = relay === undefined ? {type: 'notSent'} : await relayCall(call, relay);
		if (relay !== undefined && (answer.type === 'noAnswer' || answer.type === 'notSent')) {
			avoidRelay(address, relay);
		}

		// What may have reached the minion is not sent a second time here; its sender decides.
		return answer.type === 'notSent' ? executeMinionCall(call, {minions: direct, term: call.order.fencingToken}) : answer;
	};

	/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the answer to a call of a kind has that kind's value */
	return {
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
}
