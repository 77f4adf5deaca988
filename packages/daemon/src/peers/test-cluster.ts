/**
 * Transports on loopback for tests: real sockets under a virtual clock.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createSeededRandom, toBrand, type DataCentreId, type NodeId, type RegionId,
	type VirtualTimerService,
} from '@samphiremill/common';
import type {NodeAddress} from '@samphiremill/core';
import {createPeerTransport} from './transport.js';
import type {PeerLinkChange, PeerTransport, PeerTransportOptions} from './types.js';

/** One transport with what it reported. */
export type TestPeer = {
	readonly transport: PeerTransport;
	readonly received: Array<{readonly from: NodeId; readonly message: unknown}>;
	readonly changes: PeerLinkChange[];
};

/** A relay between two ports that can stop forwarding without closing anything. */
export type TestRelay = {
	readonly port: number;
	/** Connections that are open now go mute for good; new ones work. */
	readonly muteOpenConnections: () => void;
	readonly close: () => void;
};

/** @returns A port of the loopback interface that was free a moment ago. */
export async function getFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a TCP server's address is never a string
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

/**
 * @param name - The node's id.
 * @param peerPort - Its port on loopback.
 * @returns The address of a voter in the only data centre.
 */
export function createTestAddress(name: string, peerPort: number): NodeAddress {
	return {
		node: toBrand<NodeId>(name),
		dataCentre: toBrand<DataCentreId>('dc-1'),
		region: toBrand<RegionId>('region-1'),
		host: '127.0.0.1',
		peerPort,
		isVoter: true,
	};
}

/**
 * @param options - What differs from a plain transport.
 * @returns A transport that keeps what it reports.
 */
export function createTestPeer(options: Pick<PeerTransportOptions, 'self' | 'peers' | 'timers'> & Partial<PeerTransportOptions>): TestPeer {
	const received: TestPeer['received'] = [];
	const changes: PeerLinkChange[] = [];
	const transport = createPeerTransport({
		incarnation: 1,
		secret: 'cluster secret',
		random: createSeededRandom(1),
		onMessage(from, message) {
			received.push({from, message});
		},
		onLinkChanged(change) {
			changes.push(change);
		},
		...options,
	});
	return {transport, received, changes};
}

/**
 * Moves the virtual clock on, with pauses for the sockets, until the condition holds.
 *
 * @param timers - The clock that the transports share.
 * @param condition - What is awaited; the test times out when it never holds.
 */
export async function advanceUntil(timers: VirtualTimerService, condition: () => boolean): Promise<void> {
	while (!condition()) {
		timers.advance(50);
		// eslint-disable-next-line no-await-in-loop -- the sockets need turns of the event loop in between
		await sleep(5);
	}
}

/**
 * @param targetPort - Where the relay forwards to, on loopback.
 * @returns The running relay.
 */
export async function createTestRelay(targetPort: number): Promise<TestRelay> {
	let sockets: readonly Socket[] = [];
	const server = createServer(inbound => {
		const outbound = connect({host: '127.0.0.1', port: targetPort});
		sockets = [...sockets, inbound, outbound];
		for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
			from.pipe(to);
			from.on('error', () => {
				to.destroy();
			});
		}
	});
	const port = await getFreePort();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		port,
		muteOpenConnections() {
			for (const socket of sockets) {
				socket.unpipe();
				socket.resume();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
