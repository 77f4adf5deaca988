/**
 * Plays faults of control hosts of which no more than one is lost at a time, and measures how long nothing is committed in the calm after them.
 */
import {createSeededRandom, type RandomSource} from '@samphiremill/common';
import {controlHostReplicaLimits} from './constants.js';
import {createControlHosts, type ControlHosts} from './test-control-hosts.js';
import {createTestNetwork, type TestNetwork} from './test-network.js';

/** The hosts are calm once nothing has struck any of them for so long. */
const settleMs = 3000;

/** A host that is back counts as lost for so long. */
const catchUpMs = 4000;

const normalSync = {least: 0.5, most: 5};
const slowSync = {least: 60, most: 150};

/** A series of faults. */
export type CalmPlan = {
	readonly seed: number;
	readonly hostCount: number;
	readonly faults: number;
	readonly trace?: (text: string) => void;
};

type Play = {
	readonly network: TestNetwork;
	readonly hosts: ControlHosts;
	readonly names: readonly string[];
	/** The hosts that are to be there now. */
	readonly members: Set<string>;
	readonly random: RandomSource;
	/** Lets time pass, with a fault at its beginning if `isFault`. */
	readonly pass: (durationMs: number, isFault: boolean) => void;
};

const pick = <Item>(random: RandomSource, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
const pickBetween = (random: RandomSource, least: number, most: number) => Math.floor(least + (random() * (most - least)));

const pickDuration = (random: RandomSource) => pick(random, [pickBetween(random, 50, 800), pickBetween(random, 800, 4000), pickBetween(random, 4000, 14_000)]);

const hostNames = ['a1', 'b1', 'c1', 'd1', 'e1'];
const spareName = 'x1';

const findSpare = (members: ReadonlySet<string>, names: readonly string[]): string => names.find(name => !members.has(name))!;

type Fault = (play: Play, victim: string) => void;

const faults: Readonly<Record<string, Fault>> = {
	'killed and started again'({hosts, random, pass}, victim) {
		hosts.lose(victim);
		pass(pickDuration(random), true);
		hosts.restart(victim);
	},
	'lost its disk'({hosts, random, pass}, victim) {
		hosts.lose(victim);
		pass(pickDuration(random), true);
		hosts.returnEmpty(victim);
	},
	'stands still'({hosts, random, pass}, victim) {
		const durationMs = pickDuration(random);
		hosts.pause(victim, durationMs);
		pass(durationMs, true);
	},
	'is replaced'({hosts, names, members, random, pass}, victim) {
		const spare = findSpare(members, names);
		members.delete(victim);
		hosts.lose(victim);
		pass(pickDuration(random), true);
		members.add(spare);
		hosts.returnEmpty(spare);
	},
	'is replaced as planned'({hosts, names, members, network, random, pass}, victim) {
		const spare = findSpare(members, names);
		members.add(spare);
		hosts.returnEmpty(spare);
		pass(pickBetween(random, 500, 5000), true);
		members.delete(victim);
		network.transferLeadership(victim);
		pass(400, false);
		hosts.lose(victim);
	},
	'has a full disk'({network, random, pass}, victim) {
		network.fillDisk(victim);
		pass(pickDuration(random), true);
		network.freeDisk(victim);
	},
	'has a slow disk'({network, random, pass}, victim) {
		network.setSyncTime(victim, slowSync);
		pass(pickDuration(random), true);
		network.setSyncTime(victim, normalSync);
	},
	'hands the lead over'({network, pass}, victim) {
		network.transferLeadership(victim);
		pass(0, true);
	},
	'gives way'({network, pass}, victim) {
		network.giveWay(victim);
		pass(0, true);
	},
};

/**
 * Plays the faults, each on a host drawn by lot, the leader more often than not. The next one strikes once the last host that was lost has caught up.
 *
 * @returns The longest time without a commit in calm, in milliseconds, and since which fault.
 */
export function playCalm({seed, hostCount, faults: faultCount, trace}: CalmPlan): {readonly waitMs: number; readonly since: string} {
	const random = createSeededRandom(seed);
	const initial = hostNames.slice(0, hostCount);
	const names = [...initial, spareName];
	const snapshotEveryEntries = pick(random, [200, 600, 3000]);
	const network = createTestNetwork({
		nodes: names.map(name => ({name, dataCentre: `of ${name}`, kind: name === spareName ? 'spareDisk' : 'voter'})),
		seed,
		limits: {...controlHostReplicaLimits, snapshotEveryEntries, trailingEntries: snapshotEveryEntries / 2},
		delayMs: {least: 0.5, most: pick(random, [2, 5])},
		syncMs: normalSync,
		isOrdered: true,
	});
	const hosts = createControlHosts({
		network, names, wantedVoters: hostCount, load: {pauseMs: {least: 1, most: 20}, padding: 20}, random,
	});
	hosts.lose(spareName);
	let calmFromMs = settleMs;
	let acknowledged = 0;
	let acknowledgedAtMs = 0;
	let last = 'the start';
	let longest = {waitMs: 0, since: last};
	const check = () => {
		if (hosts.getAcknowledgedCount() > acknowledged) {
			acknowledged = hosts.getAcknowledgedCount();
			acknowledgedAtMs = network.getNowMs();
		}

		const waitMs = network.getNowMs() - Math.max(calmFromMs, acknowledgedAtMs);
		if (waitMs > longest.waitMs) {
			longest = {waitMs, since: last};
		}

		return false;
	};

	const pass = (durationMs: number, isFault: boolean) => {
		calmFromMs = isFault ? network.getNowMs() + settleMs : calmFromMs;
		hosts.run(durationMs, check);
	};

	const members = new Set(initial);
	pass(catchUpMs, true);
	for (let fault = 0; fault < faultCount; fault += 1) {
		const kind = pick(random, Object.keys(faults));
		const leader = network.getLeader();
		const victim = random() < 0.6 && leader !== undefined && members.has(leader) ? leader : pick(random, [...members]);
		last = `seed ${seed}: ${victim} (leader ${leader ?? 'none'}) ${kind} at ${network.getNowMs()} ms`;
		trace?.(last);
		faults[kind]!({
			network, hosts, names, members, random, pass,
		}, victim);
		last += `, until ${network.getNowMs()} ms`;
		pass(catchUpMs + pickBetween(random, 0, 4000), true);
	}

	return longest;
}
