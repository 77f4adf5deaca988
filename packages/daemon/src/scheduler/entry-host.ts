/**
 * An entry host of the scheduler: forwards callers' requests to the leading control host. Its only state is
 * where the leader is.
 */
import {
	toBrand, type DataCentreId, type NodeId, type RandomSource, type RegionId, type TimerService,
} from '@samphiremill/common';
import type {NodeAddress, RequestLimits} from '@samphiremill/core';
import {createPeerTransport} from '../peers/index.js';
import type {StructuredLogger} from '../runtime/types.js';
import {createClusterClient} from './cluster-client.js';
import {leaderContactTimeoutMs, limitsPollPeriodMs} from './constants.js';
import {createLeaderContact} from './leader-contact.js';
import type {SchedulerMetrics} from './metrics.js';
import type {ClusterCall, ClusterCallResult} from './types.js';

/** Settings of an entry host. */
export type EntryHostSettings = {
	readonly self: NodeId;
	/** IP address of this host. */
	readonly host: string;
	readonly peerPort: number;
	readonly seeds: readonly NodeId[];
	readonly secret: string;
};

/** A running entry host. */
export type EntryHost = {
	/** Forwards a call to the leader; fails at once while no leader has answered for `leaderContactTimeoutMs`. */
	readonly call: (call: ClusterCall, options: {readonly timeoutMs: number}) => Promise<ClusterCallResult>;
	/** Whether a leader answered within `leaderContactTimeoutMs`. */
	readonly isInContact: () => boolean;
	/** Calls the listener with the limits on callers' requests each time they are read. */
	readonly onLimits: (listener: (limits: RequestLimits) => void) => void;
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	readonly stop: () => Promise<void>;
};

const unknownDataCentre = toBrand<DataCentreId>('-');
const unknownRegion = toBrand<RegionId>('-');

/** Starts an entry host. */
export async function startEntryHost({settings, timers, random, getWallClock, log, metrics}: {
	readonly settings: EntryHostSettings;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly getWallClock: () => number;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
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
	const contact = createLeaderContact({
		timers, log, metrics, timeoutMs: leaderContactTimeoutMs, getHosts: client.getHosts,
	});
	const listeners: Array<(limits: RequestLimits) => void> = [];

	const pollLimits = async () => {
		const result = await client.call({type: 'limits/read'}, {timeoutMs: limitsPollPeriodMs});
		if (result.type !== 'answered') {
			return;
		}

		contact.recordAnswer();
		if (result.answer.type === 'limits') {
			for (const listener of listeners) {
				listener(result.answer.limits);
			}
		}
	};

	const cancelPolling = timers.scheduleEvery(limitsPollPeriodMs, () => {
		contact.report();
		void pollLimits();
	});
	void pollLimits();

	return {
		call: async (call, {timeoutMs}) => client.call(call, {timeoutMs, shouldGiveUp: contact.isLost}),
		isInContact: contact.isEstablished,
		onLimits(listener) {
			listeners.push(listener);
		},
		setSeeds: client.setSeeds,
		async stop() {
			cancelPolling();
			await transport.close();
		},
	};
}
