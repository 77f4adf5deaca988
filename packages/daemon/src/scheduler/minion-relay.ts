/**
 * Calls to minions that other control hosts carry out for the leader. With hundreds of minions most of a
 * leader's processor time goes into the connections to them, while the other control hosts are idle.
 * A relay decides nothing: it passes a call on and its answer back.
 */
import {
	assertNever, rankMembers, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {PeerTransport} from '../peers/index.js';
import {relayAvoidanceMs, relayCheckMs, relaySlackMs} from './constants.js';
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
export async function carryOutMinionCall(call: MinionCall, {minions, term}: {readonly minions: MinionPort; readonly term: number}): Promise<MinionAnswer<unknown>> {
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
export type RelayedMinionsOptions = {
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
export function createRelayedMinions({direct, transport, timers, listRelays}: RelayedMinionsOptions): MinionPort {
	const relayByAddress = new Map<string, NodeId>();
	const avoidedUntilMs = new Map<string, number>();
	let relays: readonly NodeId[] = [];
	let checkedAtMs = Number.NEGATIVE_INFINITY;

	const refreshRelays = () => {
		if (timers.getNow() - checkedAtMs < relayCheckMs) {
			return;
		}

		checkedAtMs = timers.getNow();
		const found = listRelays().toSorted();
		if (found.join(' ') !== relays.join(' ')) {
			relays = found;
			relayByAddress.clear();
		}
	};

	const chooseRelay = (address: string): NodeId | undefined => {
		refreshRelays();
		if (relays.length === 0 || (avoidedUntilMs.get(address) ?? 0) > timers.getNow()) {
			return undefined;
		}

		const relay = relayByAddress.get(address) ?? rankMembers(address, relays)[0];
		if (relay !== undefined) {
			relayByAddress.set(address, relay);
		}

		return relay;
	};

	// A relay may have lost the way to a minion that this host still reaches.
	const avoidRelay = (address: string) => {
		avoidedUntilMs.set(address, timers.getNow() + relayAvoidanceMs);
	};

	const relayCall = async (call: MinionCall, relay: NodeId): Promise<MinionAnswer<unknown>> => {
		const result = await transport.request({
			to: relay, method: minionCallMethod, params: call, timeoutMs: call.order.timeoutMs + relaySlackMs,
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
			avoidRelay(address);
		}

		// What may have reached the minion is not sent a second time here; its sender decides.
		return answer.type === 'notSent' ? carryOutMinionCall(call, {minions: direct, term: call.order.fencingToken}) : answer;
	};

	/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the answer to a call of a kind has that kind's value */
	return {
		hold: async order => await send({type: 'hold', order}) as Awaited<ReturnType<MinionPort['hold']>>,
		start: async order => await send({type: 'start', order}) as Awaited<ReturnType<MinionPort['start']>>,
		stop: async order => await send({type: 'stop', order}) as Awaited<ReturnType<MinionPort['stop']>>,
		pace: async order => await send({type: 'pace', order}) as Awaited<ReturnType<MinionPort['pace']>>,
		retain(addresses) {
			for (const address of [...relayByAddress.keys(), ...avoidedUntilMs.keys()]) {
				if (!addresses.has(address)) {
					relayByAddress.delete(address);
					avoidedUntilMs.delete(address);
				}
			}

			direct.retain(addresses);
		},
	};
	/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */
}
