/**
 * Plays series of losses of control hosts with their disks, and checks that each one is borne.
 */
import {createSeededRandom, type RandomSource} from '@samphiremill/common';
import {controlHostReplicaLimits} from './constants.js';
import {createControlHosts, type ControlHosts} from './test-control-hosts.js';
import {createTestNetwork, type TestNetwork} from './test-network.js';
import type {ReplicaState} from './types.js';

/** A host that is back with an empty disk is a voter after this time; then the next loss is borne. */
const catchUpMs = 4000;

/**
 * What happens beside the losses: nothing; or faults that pass, after which the hosts have as much time as after a loss; or short
 * standstills and cuts that the hosts have no time of their own for.
 */
export type Disturbance = 'none' | 'passing' | 'short';

/** A series of losses. */
export type LossPlan = {
	readonly seed: number;
	readonly hostCount: number;
	readonly losses: number;
	readonly disturbance: Disturbance;
	readonly trace?: (text: string) => void;
};

type Moment = {
	readonly name: string;
	readonly isNow: (network: TestNetwork, names: readonly string[]) => boolean;
};

const isAnyState = (isWanted: (state: ReplicaState<string>) => boolean): Moment['isNow'] =>
	(network, names) => names.some(name => network.isHealthy(name) && isWanted(network.getState(name)));

const moments: readonly Moment[] = [
	{name: 'at once', isNow: () => true},
	{name: 'a voter change is under way', isNow: isAnyState(({leadership}) => leadership?.voterChange !== undefined)},
	{name: 'a set of voters is not committed', isNow: isAnyState(({leadership, votersIndex, commitIndex}) => leadership !== undefined && votersIndex > commitIndex)},
	{name: 'a snapshot is taken', isNow: isAnyState(({isSnapshotRequested}) => isSnapshotRequested)},
	{name: 'a snapshot is sent', isNow: isAnyState(({incomingSnapshot}) => incomingSnapshot !== undefined)},
	{name: 'an election is held', isNow: isAnyState(({role}) => role === 'candidate')},
	{name: 'a new leader has committed nothing', isNow: isAnyState(({leadership, commitIndex}) => leadership !== undefined && commitIndex < leadership.firstIndex)},
];

const pick = <Item>(random: RandomSource, items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
const pickBetween = (random: RandomSource, least: number, most: number) => Math.floor(least + (random() * (most - least)));

const describeHost = (network: TestNetwork, name: string) => {
	const {role, term, log, commitIndex, voters, votersIndex, persistence, snapshot, incomingSnapshot, leadership, votedFor, leader} = network.getState(name);
	return {
		name,
		storeId: network.getStoreId(name),
		isHealthy: network.isHealthy(name),
		role,
		term,
		votedFor,
		leader,
		baseIndex: log.baseIndex,
		lastIndex: log.baseIndex + log.entries.size,
		commitIndex,
		voters: voters.map(({storeId}) => storeId).join(' '),
		votersIndex,
		pendingWrites: persistence.pending.length,
		snapshotIndex: snapshot?.index,
		incoming: incomingSnapshot && `${incomingSnapshot.index} of ${incomingSnapshot.from}, ${incomingSnapshot.offset}/${incomingSnapshot.length}`,
		change: leadership?.voterChange && {...leadership.voterChange, requestId: undefined},
	};
};

type Play = {
	readonly network: TestNetwork;
	readonly hosts: ControlHosts;
	readonly names: readonly string[];
	readonly random: RandomSource;
	readonly plan: LossPlan;
};

const checkWell = ({network, hosts, names, plan: {seed, hostCount, disturbance}}: Play, since: string) => {
	const fail = (finding: string) => {
		throw new Error(`${finding}: ${JSON.stringify({
			seed, hostCount, disturbance, atMs: network.getNowMs(), since, hosts: names.map(name => describeHost(network, name)),
		}, undefined, '\t')}`);
	};

	// A standstill may just have ended a lead.
	hosts.run(disturbance === 'short' ? catchUpMs : 1, () => hosts.listActing().length > 0);
	const [leader] = hosts.listActing();
	if (leader === undefined) {
		fail('no leader');
		return;
	}

	if (disturbance === 'short') {
		return;
	}

	const {voters, votersIndex, commitIndex} = network.getState(leader);
	const present = new Set(names.map(name => network.getStoreId(name)));
	if (votersIndex > commitIndex || voters.length !== hostCount || !voters.every(({storeId}) => present.has(storeId))) {
		fail('not all hosts are voters');
	}
};

/** Lets one fault pass, or none. */
const disturb = ({network, hosts, names, random, plan}: Play, trace: (text: string) => void) => {
	const name = pick(random, names);
	const other = pick(random, names.filter(other => other !== name));
	const durationMs = pickBetween(random, 50, 500);
	const kind = pick(random, plan.disturbance === 'short' ? ['pause', 'cut'] as const : ['pause', 'cut', 'restart', 'sync', 'transfer'] as const);
	trace(`${kind} of ${name} (${other}) for ${durationMs} ms`);
	switch (kind) {
		case 'pause': {
			hosts.pause(name, durationMs);
			hosts.run(durationMs);
			break;
		}

		case 'cut': {
			network.cut(name, other);
			network.cut(other, name);
			hosts.run(durationMs);
			network.heal();
			break;
		}

		case 'restart': {
			hosts.lose(name);
			hosts.run(durationMs);
			hosts.restart(name);
			break;
		}

		case 'sync': {
			network.setSyncTime(name, {least: 20, most: 200});
			hosts.run(durationMs * 4);
			network.setSyncTime(name, {least: 0.5, most: 5});
			break;
		}

		case 'transfer': {
			network.transferLeadership(network.getLeader() ?? name, name);
		}
	}
};

const createPlay = (plan: LossPlan): Play => {
	const {seed, hostCount} = plan;
	const random = createSeededRandom(seed);
	const names = ['a1', 'b1', 'c1', 'd1', 'e1', 'f1', 'g1'].slice(0, hostCount);
	const snapshotEveryEntries = pick(random, [200, 600, 3000]);
	const network = createTestNetwork({
		nodes: names.map(name => ({name, dataCentre: `of ${name}`, kind: 'voter'})),
		seed,
		limits: {
			...controlHostReplicaLimits,
			snapshotEveryEntries,
			trailingEntries: snapshotEveryEntries / 2,
			maximumChunkLength: pick(random, [1024, 8192, 32_768]),
		},
		delayMs: {least: 0.5, most: pick(random, [2, 5])},
		syncMs: {least: 0.5, most: pick(random, [2, 5, 20])},
		isOrdered: true,
	});
	const load = {pauseMs: {least: 1, most: pick(random, [5, 20])}, padding: 20};
	const hosts = createControlHosts({
		network, names, wantedVoters: hostCount, load, random,
	});
	return {
		network, hosts, names, random, plan,
	};
};

const playLoss = (play: Play, trace: (text: string) => void) => {
	const {network, hosts, names, random, plan} = play;
	const moment = pick(random, moments);
	hosts.run(pickBetween(random, 0, 500));
	const isReached = hosts.run(2000, () => moment.isNow(network, names));
	const leader = network.getLeader();
	const victim = random() < 0.6 && leader !== undefined ? leader : pick(random, names);
	const since = `${victim} (leader ${leader ?? 'none'}) lost at ${network.getNowMs()}, ${moment.name}${isReached ? '' : ' (not met)'}`;
	trace(since);
	hosts.lose(victim);
	hosts.run(pickBetween(random, 100, 2500));
	hosts.returnEmpty(victim);
	trace(`${victim} is back`);
	const backAtMs = network.getNowMs();
	while (plan.disturbance !== 'none' && network.getNowMs() < backAtMs + catchUpMs - 500) {
		hosts.run(pickBetween(random, 0, 1500));
		disturb(play, trace);
	}

	hosts.run(plan.disturbance === 'short' ? Math.max(0, backAtMs + catchUpMs - network.getNowMs()) : catchUpMs);
	checkWell(play, since);
};

/**
 * Plays a series of losses.
 *
 * @returns The number of acknowledged commands. It throws if a loss is not borne, or if the log breaks a rule.
 */
export function playLosses(plan: LossPlan): number {
	const play = createPlay(plan);
	const {network, hosts} = play;
	const trace = (text: string) => plan.trace?.(`${network.getNowMs()} ${text}`);
	hosts.run(catchUpMs);
	checkWell(play, 'the start');
	for (let loss = 0; loss < plan.losses; loss += 1) {
		const before = hosts.getAcknowledgedCount();
		playLoss(play, trace);
		if (hosts.getAcknowledgedCount() === before) {
			throw new Error(`seed ${plan.seed}: nothing is committed`);
		}
	}

	return hosts.getAcknowledgedCount();
}
