/**
 * One entry host of the scheduler: it hands callers' requests to the leading control host, and keeps
 * nothing but the way there.
 */
import {
	toBrand, type DataCentreId, type NodeId, type RandomSource, type RegionId, type TimerService,
} from '@samphiremill/common';
import type {NodeAddress, RequestLimits} from '@samphiremill/core';
import {createPeerTransport} from '../peers/index.js';
import {createClusterClient} from './cluster-client.js';
import {leaderContactTimeoutMs, limitsPollPeriodMs} from './constants.js';
import type {ClusterCall, ClusterCallResult} from './types.js';

/** How an entry host is set up. */
export type EntryHostSettings = {
	readonly self: NodeId;
	/** The own IP number. */
	readonly host: string;
	readonly peerPort: number;
	readonly seeds: readonly NodeId[];
	readonly secret: string;
};

/** A running entry host. */
export type EntryHost = {
	/** Hands a call on; at once without an answer while no leader has been in reach for some time. */
	readonly call: (call: ClusterCall, options: {readonly timeoutMs: number}) => Promise<ClusterCallResult>;
	/** Whether a leader answered a moment ago. */
	readonly isInContact: () => boolean;
	/** Calls back with the limits on callers' requests, each time they are read. */
	readonly onLimits: (listener: (limits: RequestLimits) => void) => void;
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	readonly stop: () => Promise<void>;
};

const unknownDataCentre = toBrand<DataCentreId>('-');
const unknownRegion = toBrand<RegionId>('-');

/**
 * Starts an entry host.
 *
 * @param options - The settings, the time and chance.
 * @returns The running host.
 */
export async function startEntryHost({settings, timers, random, getWallClock}: {
	readonly settings: EntryHostSettings;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly getWallClock: () => number;
}): Promise<EntryHost> {
	const resolvePeer = (node: NodeId): NodeAddress => ({
		node, host: node, peerPort: settings.peerPort, dataCentre: unknownDataCentre, region: unknownRegion, isVoter: false,
	});
	const transport = createPeerTransport({
		self: resolvePeer(settings.self),
		incarnation: Math.floor(getWallClock()),
		peers: [],
		resolvePeer,
		secret: settings.secret,
		timers,
		random,
		onMessage: () => undefined,
		onLinkChanged: () => undefined,
	});
	await transport.start();
	const client = createClusterClient({
		transport, timers, self: settings.self, seeds: settings.seeds,
	});
	const startedAtMs = timers.getNow();
	let lastContactAtMs: number | undefined;
	const listeners: Array<(limits: RequestLimits) => void> = [];

	// A change of leader is over sooner. A host that has just started waits as long for its first contact.
	const isCutOff = () => timers.getNow() - (lastContactAtMs ?? startedAtMs) >= leaderContactTimeoutMs;

	const pollLimits = async () => {
		const result = await client.call({type: 'limits/read'}, {timeoutMs: limitsPollPeriodMs});
		if (result.type !== 'answered') {
			return;
		}

		lastContactAtMs = timers.getNow();
		if (result.answer.type === 'limits') {
			for (const listener of listeners) {
				listener(result.answer.limits);
			}
		}
	};

	const cancelPolling = timers.scheduleEvery(limitsPollPeriodMs, () => {
		void pollLimits();
	});
	void pollLimits();

	return {
		call: async (call, {timeoutMs}) => client.call(call, {timeoutMs, shouldGiveUp: isCutOff}),
		isInContact: () => lastContactAtMs !== undefined && !isCutOff(),
		onLimits(listener) {
			listeners.push(listener);
		},
		setSeeds: client.addHosts,
		async stop() {
			cancelPolling();
			await transport.close();
		},
	};
}
