/**
 * Test transports on the loopback interface, with real sockets and a virtual clock.
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
import {afterEach} from 'vitest';
import {createPeerTransport} from './transport.js';
import type {PeerLinkChange, PeerTransport, PeerTransportOptions} from './types.js';

/** One transport with the messages and link changes that it reported. */
export type TestPeer = {
	readonly transport: PeerTransport;
	readonly received: Array<{readonly from: NodeId; readonly message: unknown}>;
	readonly changes: PeerLinkChange[];
};

/** A TCP relay that can stop forwarding without closing its connections. */
export type TestRelay = {
	readonly port: number;
	/** Permanently stops forwarding on the connections that are open now; new ones work. */
	readonly muteOpenConnections: () => void;
	readonly close: () => void;
};

/** The two nodes of most tests. */
export const alpha = toBrand<NodeId>('alpha');
export const beta = toBrand<NodeId>('beta');

/** Whether the peer has exactly one link that is up. */
export function isLinked({transport}: TestPeer): boolean {
	return transport.listLinkedPeers().length === 1;
}

/** Runs the given actions after each test of the file. Returns a function that adds actions. */
export function runAfterEach(): (...actions: ReadonlyArray<() => unknown>) => void {
	let cleanups: Array<() => unknown> = [];
	afterEach(async () => {
		await Promise.all(cleanups.map(async cleanup => cleanup()));
		cleanups = [];
	});
	return (...actions) => {
		cleanups.push(...actions);
	};
}

/** Finds a free port of the loopback interface. The port is not reserved. */
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
 * Creates the address of a voter on the loopback interface. All voters are in one data centre.
 *
 * @param name - The node's id.
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
 * Creates a transport that records the messages and link changes that it reports.
 *
 * @param options - The options of the transport; those that are missing get a default.
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
 * Advances the virtual clock in steps until the condition holds. After each step it pauses so that
 * the sockets can deliver. If the condition never holds, the test times out.
 */
export async function advanceUntil(timers: VirtualTimerService, condition: () => boolean): Promise<void> {
	while (!condition()) {
		timers.advance(50);
		// eslint-disable-next-line no-await-in-loop -- the sockets need turns of the event loop between the steps
		await sleep(5);
	}
}

/**
 * Starts a relay.
 *
 * @param targetPort - The loopback port that the relay forwards to.
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
