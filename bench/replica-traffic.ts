/**
 * Measures the traffic of the replicated log per role, in bytes per second of virtual time, for several numbers of
 * nodes, with and without relays. Each message counts with its JSON, its JSON-RPC frame and its TCP/IP headers.
 *
 * Run: node bench/dist/replica-traffic.js
 */
import {
	createTestNetwork, type NodeTraffic, type TestNetwork, type TestNode,
} from '@samphiremill/core/testing';
import {formatTable, getQuantile} from './statistics.js';

const dataCentres = 11;
const voters = 7;
const messageOverheadBytes = 104;
const warmUpMs = 10_000;
const measuredMs = 60_000;
const command = 'x'.repeat(300);

const createNodes = (perDataCentre: number, hasRelays: boolean): readonly TestNode[] =>
	Array.from({length: dataCentres * perDataCentre}, (_, index): TestNode => {
		const isVoter = index < voters;
		const dataCentre = index % dataCentres;
		return {
			name: `n${String(index).padStart(3, '0')}`,
			// If each node has its own data centre, there are no relays: a voter feeds each node.
			dataCentre: hasRelays ? `dc${dataCentre}` : `dc${index}`,
			kind: isVoter ? 'voter' : 'diskless',
		};
	});

const getTrafficBytes = (after: NodeTraffic, before: NodeTraffic) => ({
	sent: after.sentBytes - before.sentBytes + ((after.sentMessages - before.sentMessages) * messageOverheadBytes),
	received: after.receivedBytes - before.receivedBytes + ((after.receivedMessages - before.receivedMessages) * messageOverheadBytes),
});

const measureRates = (network: TestNetwork, nodes: readonly TestNode[], changesPerMinute: number) => {
	network.run(warmUpMs);
	const before = nodes.map(({name}) => network.getTraffic(name));
	const intervalMs = changesPerMinute === 0 ? measuredMs : measuredMs / changesPerMinute;
	for (let elapsedMs = 0; elapsedMs < measuredMs; elapsedMs += intervalMs) {
		if (changesPerMinute > 0) {
			network.propose(nodes.at(-1)?.name ?? '', command);
		}

		network.run(intervalMs);
	}

	return nodes.map(({name}, index) => {
		const {sent, received} = getTrafficBytes(network.getTraffic(name), before[index] ?? network.getTraffic(name));
		return {name, bytesPerSecond: ((sent + received) / measuredMs) * 1000};
	});
};

const measure = ({perDataCentre, hasRelays, changesPerMinute}: {
	readonly perDataCentre: number;
	readonly hasRelays: boolean;
	readonly changesPerMinute: number;
}) => {
	const nodes = createNodes(perDataCentre, hasRelays);
	const network = createTestNetwork({nodes, seed: 1, delayMs: {least: 1, most: 20}});
	const rates = measureRates(network, nodes, changesPerMinute);
	const leader = network.getLeader();
	const isRelay = (index: number) => index >= voters && index < dataCentres;
	const getMaximumRate = (isIncluded: (name: string, index: number) => boolean) =>
		Math.round(getQuantile(rates.filter(({name}, index) => isIncluded(name, index)).map(({bytesPerSecond}) => bytesPerSecond), 1));
	return [
		nodes.length,
		hasRelays ? 'relays' : 'none',
		changesPerMinute,
		getMaximumRate(name => name === leader),
		getMaximumRate((name, index) => index < voters && name !== leader),
		getMaximumRate((_, index) => isRelay(index)),
		getMaximumRate((_, index) => index >= dataCentres),
	];
};

const rows: Array<ReadonlyArray<string | number>> = [[
	'nodes', 'fan-out', 'changes/min', 'leader B/s', 'other voter B/s', 'relay B/s', 'other observer B/s',
]];
for (const hasRelays of [true, false]) {
	for (const perDataCentre of [2, 3, 6, 12]) {
		for (const changesPerMinute of [0, 60]) {
			rows.push(measure({perDataCentre, hasRelays, changesPerMinute}));
		}
	}
}

console.log(formatTable(rows));
