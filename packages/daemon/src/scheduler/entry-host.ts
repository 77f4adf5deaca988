/**
 * One entry host of the scheduler: it hands callers' requests to the leading control host, and keeps
 * nothing but the way there.
 */
import {
	toBrand, type DataCentreId, type NodeId, type RandomSource, type RegionId, type TimerService,
} from '@samphiremill/common';
import type {NodeAddress} from '@samphiremill/core';
import {createPeerTransport} from '../peers/index.js';
import {createClusterClient} from './cluster-client.js';
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
	readonly call: (call: ClusterCall, options: {readonly timeoutMs: number}) => Promise<ClusterCallResult>;
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	readonly stop: () => Promise<void>;
};

const anywhere = toBrand<DataCentreId>('-');
const anyRegion = toBrand<RegionId>('-');

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
		node, host: node, peerPort: settings.peerPort, dataCentre: anywhere, region: anyRegion, isVoter: false,
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
	return {
		call: client.call,
		setSeeds: client.addHosts,
		stop: transport.close,
	};
}
