/**
 * A simulated network of replicas in virtual time. Disks lose writes that are not synced, and clocks run at
 * different rates. The network checks the invariants of the log after every event.
 */
import {
	createSeededRandom, toBrand, type DataCentreId, type NodeId, type RandomSource,
} from '@samphiremill/common';
import {getConfigurationFreshness} from './confirmation.js';
import {defaultReplicaLimits} from './constants.js';
import {createReplica} from './create-replica.js';
import type {ReplicaMessage} from './messages.js';
import {
	applyPersistedWrite, createPersistedState, getRecoveredReplica, type PersistedState,
} from './persisted-state.js';
import {getConfirmedSendMs, hasLeaderLease, isLeaderLeaseHeld} from './leader-lease.js';
import {reduceReplica} from './reduce-replica.js';
import type {
	LogEntry, PersistEffect, ReplicaConfig, ReplicaEffect, ReplicaEvent, ReplicaLimits, ReplicaState, RequestId, StoreId, VoterChange,
} from './types.js';

/** One node of the test network, as a test defines it. */
export type TestNode = {
	readonly name: string;
	readonly dataCentre: string;
	readonly kind: 'voter' | 'spareDisk' | 'diskless';
	/** The rate of the node's clock relative to virtual time; 1 by default. */
	readonly clockRate?: number;
};

/** The configuration of a test network. */
export type TestNetworkOptions = {
	readonly nodes: readonly TestNode[];
	readonly seed: number;
	readonly limits?: Partial<ReplicaLimits>;
	readonly delayMs?: {readonly least: number; readonly most: number};
	readonly syncMs?: {readonly least: number; readonly most: number};
	/** Whether messages on one link arrive in the order in which they were sent, as on one connection. */
	readonly isOrdered?: boolean;
	/** The bandwidth of each link in each direction, and the bytes that may wait for it; a message that does not fit is dropped. */
	readonly links?: {readonly bytesPerMs: number; readonly bufferBytes: number};
	/** Returns what the state keeps of a command, so that snapshots stay small; by default all of it. */
	readonly keepOfCommand?: (command: string) => string;
	/** The probabilities in [0, 1] that a message is lost or delivered twice. */
	readonly lossProbability?: number;
	readonly duplicateProbability?: number;
	/** Breaks one rule of the replica on purpose, to verify that a check finds it. */
	readonly mutateState?: (state: ReplicaState<string>, event: ReplicaEvent<string>) => ReplicaState<string>;
};

/** How a request ended. */
export type TestOutcome
	= | {readonly type: 'done'; readonly index: number}
		| {readonly type: 'failed'; readonly failure: string}
		| {readonly type: 'read'; readonly index: number; readonly applied: readonly string[]};

type RunningNode = {
	readonly cfg: ReplicaConfig;
	state: ReplicaState<string>;
	disk: PersistedState<string>;
	incarnation: number;
	applied: string[];
	isUp: boolean;
};

type ScheduledCall = {readonly atMs: number; readonly run: () => void};

const tickIntervalMs = 50;
const writeRetryPeriodMs = 100;
const initialClockMs = 1000;
const maximumStalenessMs = 3000;

/** The numbers of messages and bytes that a node has sent and received. */
export type NodeTraffic = {
	/** Messages that did not fit into the buffer of their link. */
	readonly droppedMessages: number;
	/** The most bytes that waited for one link at a time. */
	readonly longestQueueBytes: number;
	readonly sentBytes: number;
	readonly sentMessages: number;
	readonly receivedBytes: number;
	readonly receivedMessages: number;
};

const emptyTraffic: NodeTraffic = {
	droppedMessages: 0, longestQueueBytes: 0, sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0,
};

/** A running test network. */
export type TestNetwork = {
	readonly getNowMs: () => number;
	/** The time on the clock of the node's process. */
	readonly getLocalMs: (name: string) => number;
	readonly getState: (name: string) => ReplicaState<string>;
	readonly getApplied: (name: string) => readonly string[];
	readonly getLeader: () => string | undefined;
	readonly getFreshness: (name: string) => ReturnType<typeof getConfigurationFreshness>;
	readonly getOutcome: (id: RequestId) => TestOutcome | undefined;
	/** Whether the node runs, whatever its disk does. */
	readonly isUp: (name: string) => boolean;
	/** Whether the node runs and its disk works. */
	readonly isHealthy: (name: string) => boolean;
	/** Whether both nodes run and messages pass in both directions. */
	readonly isLinked: (left: string, right: string) => boolean;
	readonly getStoreId: (name: string) => StoreId | undefined;
	/** The content of the node's disk. */
	readonly getDisk: (name: string) => PersistedState<string>;
	/** Counts from the start, in bytes of JSON. */
	readonly getTraffic: (name: string) => NodeTraffic;
	readonly run: (durationMs: number) => void;
	readonly propose: (name: string, command: string) => RequestId;
	readonly read: (name: string) => RequestId;
	readonly changeVoters: (name: string, change: VoterChange) => RequestId;
	readonly transferLeadership: (name: string, to?: string) => void;
	readonly giveWay: (name: string) => void;
	readonly hasLeaderLease: (name: string) => boolean;
	/** Blocks the messages in one direction. `heal` removes all blocks. */
	readonly cut: (from: string, to: string) => void;
	readonly isolate: (names: readonly string[]) => void;
	readonly heal: () => void;
	/** From now on, no message is lost or duplicated at random. */
	readonly disableRandomFaults: () => void;
	readonly crash: (name: string) => void;
	readonly restart: (name: string) => void;
	readonly wipe: (name: string) => void;
	/** The node's process stands still until `resume`, which handles what came in meanwhile. A crash or restart ends it as well. */
	readonly pause: (name: string) => void;
	readonly resume: (name: string) => void;
	/** Sets how long the syncs of one node take from now on, in milliseconds. */
	readonly setSyncTime: (name: string, range: {readonly least: number; readonly most: number}) => void;
	/** From now on until `freeDisk`, no write of the node's disk succeeds. Restarts of the node change nothing about it. */
	readonly fillDisk: (name: string) => void;
	/** The disk takes writes again; the ones that failed meanwhile are tried again. */
	readonly freeDisk: (name: string) => void;
};

const pickBetween = (random: RandomSource, {least, most}: {readonly least: number; readonly most: number}) =>
	least + (random() * (most - least));

/**
 * Creates a network in which every node is started and empty.
 *
 * @param options - The nodes and the faults that occur at random.
 */
export function createTestNetwork(options: TestNetworkOptions): TestNetwork {
	const random = createSeededRandom(options.seed);
	const limits = {...defaultReplicaLimits, ...options.limits};
	const delayMs = options.delayMs ?? {least: 1, most: 10};
	const syncMs = options.syncMs ?? {least: 1, most: 5};
	const keepOfCommand = options.keepOfCommand ?? (command => command);
	let {lossProbability = 0, duplicateProbability = 0} = options;
	let nowMs = 0;
	let nextRequest = 0;
	const scheduled: ScheduledCall[] = [];
	const blockedLinks = new Set<string>();
	const fullDisks = new Set<string>();
	const pausedEvents = new Map<string, Array<() => ReplicaEvent<string>>>();
	const lastDeliveries = new Map<string, number>();
	const linkFreeAtMs = new Map<string, number>();
	const syncTimes = new Map<string, {readonly least: number; readonly most: number}>();
	const leadersByTerm = new Map<number, string>();
	const committedEntries = new Map<number, string>();
	const commitTimes: number[] = [];
	const outcomes = new Map<RequestId, TestOutcome>();
	const readStarts = new Map<RequestId, number>();
	const traffic = new Map<string, NodeTraffic>();
	const replicaNodes = options.nodes.map(({name, dataCentre, kind}) => ({
		node: toBrand<NodeId>(name), dataCentre: toBrand<DataCentreId>(dataCentre), isInitialVoter: kind === 'voter',
	}));

	const schedule = (delay: number, run: () => void) => {
		const atMs = nowMs + delay;
		let low = 0;
		for (let high = scheduled.length; low < high;) {
			const middle = Math.floor((low + high) / 2);
			const isLater = (scheduled[middle]?.atMs ?? 0) > atMs;
			low = isLater ? low : middle + 1;
			high = isLater ? middle : high;
		}

		scheduled.splice(low, 0, {atMs, run});
	};

	const createCfg = ({name, kind}: TestNode, diskIncarnation: number): ReplicaConfig => ({
		self: toBrand<NodeId>(name),
		...(kind !== 'diskless' && {storeId: toBrand<StoreId>(`${name}-disk-${diskIncarnation}`)}),
		nodes: replicaNodes,
		limits,
		random,
		...(options.links !== undefined && {measureEntry: (entry: LogEntry<unknown>) => JSON.stringify(entry).length}),
	});

	const nodes = new Map<string, RunningNode>();
	const getNode = (name: string): RunningNode => {
		const node = nodes.get(name);
		if (node === undefined) {
			throw new Error(`No node ${name}`);
		}

		return node;
	};

	// The clock of a process starts anew with each incarnation.
	const startedAtMs = new Map<string, number>();
	const getLocalMs = (name: string) => {
		const clockRate = options.nodes.find(node => node.name === name)?.clockRate ?? 1;
		return initialClockMs + ((nowMs - (startedAtMs.get(name) ?? nowMs)) * clockRate);
	};

	const fail = (finding: string): never => {
		throw new Error(`At ${nowMs} ms: ${finding}`);
	};

	const checkEntry = (name: string, entry: LogEntry<string>) => {
		const text = JSON.stringify(entry);
		const known = committedEntries.get(entry.index);
		if (known === undefined) {
			committedEntries.set(entry.index, text);
			commitTimes[entry.index] = nowMs;
		} else if (known !== text) {
			fail(`${name} applied ${text} where ${known} is committed`);
		}
	};

	// Returns how long a message takes to leave the sender; `undefined` if it does not fit into the buffer.
	const occupyLink = ({from, to, size}: {readonly from: string; readonly to: string; readonly size: number}): number | undefined => {
		if (options.links === undefined) {
			return 0;
		}

		const {bytesPerMs, bufferBytes} = options.links;
		const link = `${from}>${to}`;
		const freeAtMs = Math.max(nowMs, linkFreeAtMs.get(link) ?? 0);
		const queuedBytes = ((freeAtMs - nowMs) * bytesPerMs) + size;
		const sender = traffic.get(from) ?? emptyTraffic;
		if (queuedBytes > bufferBytes) {
			traffic.set(from, {...sender, droppedMessages: sender.droppedMessages + 1});
			return undefined;
		}

		traffic.set(from, {...sender, longestQueueBytes: Math.max(sender.longestQueueBytes, queuedBytes)});
		linkFreeAtMs.set(link, freeAtMs + (size / bytesPerMs));
		return freeAtMs + (size / bytesPerMs) - nowMs;
	};

	const send = (from: string, to: string, message: ReplicaMessage<string>) => {
		const size = JSON.stringify(message).length;
		const leavingMs = occupyLink({from, to, size});
		if (leavingMs === undefined) {
			return;
		}

		const sender = traffic.get(from) ?? emptyTraffic;
		traffic.set(from, {...sender, sentBytes: sender.sentBytes + size, sentMessages: sender.sentMessages + 1});
		const receiver = traffic.get(to) ?? emptyTraffic;
		traffic.set(to, {...receiver, receivedBytes: receiver.receivedBytes + size, receivedMessages: receiver.receivedMessages + 1});
		const copies = random() < duplicateProbability ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			if (random() < lossProbability) {
				continue;
			}

			const link = `${from}>${to}`;
			const deliveryMs = Math.max(nowMs + leavingMs + pickBetween(random, delayMs), options.isOrdered === true ? lastDeliveries.get(link) ?? 0 : 0);
			lastDeliveries.set(link, deliveryMs);
			schedule(deliveryMs - nowMs, () => {
				if (!blockedLinks.has(link)) {
					handleWhenRunning(to, () => ({
						type: 'peer/received', from: toBrand<NodeId>(from), message, nowMs: getLocalMs(to),
					}));
				}
			});
		}
	};

	const write = (name: string, effect: PersistEffect<string>) => {
		const {incarnation} = getNode(name);
		const {type: _, sequence, ...content} = effect;
		const sync = () => {
			const node = getNode(name);
			if (!node.isUp || node.incarnation !== incarnation) {
				return;
			}

			if (fullDisks.has(name)) {
				schedule(writeRetryPeriodMs, sync);
				return;
			}

			// Writes are synced in order, however long each one takes.
			const queue = pendingWrites.get(name) ?? [];
			const count = queue.findIndex(other => other.sequence === sequence) + 1;
			for (const other of queue.slice(0, count)) {
				node.disk = applyPersistedWrite(node.disk, other.content);
			}

			pendingWrites.set(name, queue.slice(count));
			handleWhenRunning(name, () => ({type: 'replica/persisted', sequence, nowMs: getLocalMs(name)}));
		};

		schedule(pickBetween(random, syncTimes.get(name) ?? syncMs), sync);
		pendingWrites.set(name, [...(pendingWrites.get(name) ?? []), {sequence, content}]);
	};

	const pendingWrites = new Map<string, Array<{sequence: number; content: Omit<PersistEffect<string>, 'type' | 'sequence'>}>>();

	const executeEffect = (name: string, effect: ReplicaEffect<string>) => {
		const node = getNode(name);
		switch (effect.type) {
			case 'peer/send': {
				send(name, effect.to, effect.message);
				break;
			}

			case 'replica/persist': {
				write(name, effect);
				break;
			}

			case 'replica/apply': {
				for (const entry of effect.entries) {
					checkEntry(name, entry);
					if (entry.index !== node.applied.length + 1) {
						fail(`${name} applied entry ${entry.index} after entry ${node.applied.length}`);
					}

					node.applied.push(entry.payload.type === 'command' ? keepOfCommand(entry.payload.command) : '');
				}

				break;
			}

			case 'replica/takeSnapshot': {
				const data = JSON.stringify(node.applied);
				schedule(0, () => {
					handle(name, {
						type: 'replica/snapshotTaken', index: effect.index, data, nowMs: getLocalMs(name),
					});
				});
				break;
			}

			case 'replica/installSnapshot': {
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the data of `replica/takeSnapshot` above
				node.applied = JSON.parse(effect.data) as string[];
				break;
			}

			case 'replica/proposalDone': {
				if (!committedEntries.has(effect.index)) {
					fail(`${name} acknowledged ${effect.requestId} at ${effect.index}, which is not committed`);
				}

				outcomes.set(effect.requestId, {type: 'done', index: effect.index});
				break;
			}

			case 'replica/proposalFailed': {
				outcomes.set(effect.requestId, {type: 'failed', failure: JSON.stringify(effect.failure)});
				break;
			}

			case 'replica/readReady': {
				if (node.applied.length < (readStarts.get(effect.requestId) ?? 0)) {
					fail(`${name} answered a read at index ${node.applied.length}, before an entry that was committed when the read began`);
				}

				outcomes.set(effect.requestId, {type: 'read', index: effect.index, applied: [...node.applied]});
				break;
			}

			case 'replica/roleChanged': {
				const known = leadersByTerm.get(effect.term);
				if (effect.role === 'leader' && known !== undefined && known !== name) {
					fail(`${name} and ${known} both lead term ${effect.term}`);
				}

				if (effect.role === 'leader') {
					leadersByTerm.set(effect.term, name);
				}
			}
		}
	};

	const checkFreshness = (name: string, node: RunningNode) => {
		if (getConfigurationFreshness(node.state, {nowMs: getLocalMs(name), leaseMs: limits.configurationLeaseMs}) !== 'fresh') {
			return;
		}

		const missedCommitAtMs = commitTimes[node.applied.length + 1];
		if (missedCommitAtMs !== undefined && nowMs - missedCommitAtMs > maximumStalenessMs) {
			fail(`${name} is fresh without entry ${node.applied.length + 1}, which was committed at ${missedCommitAtMs} ms`);
		}
	};

	const handle = (name: string, event: ReplicaEvent<string>) => {
		const node = getNode(name);
		if (!node.isUp) {
			return;
		}

		const before = options.mutateState?.(node.state, event) ?? node.state;
		const {state, effects} = reduceReplica(before, event, node.cfg);
		node.state = state;
		for (const effect of effects) {
			executeEffect(name, effect);
		}
	};

	const handleWhenRunning = (name: string, createEvent: () => ReplicaEvent<string>) => {
		const waiting = pausedEvents.get(name);
		if (waiting === undefined) {
			handle(name, createEvent());
		} else {
			waiting.push(createEvent);
		}
	};

	const tick = (name: string, incarnation: number) => {
		const node = nodes.get(name);
		if (node?.incarnation !== incarnation || !node.isUp) {
			return;
		}

		handleWhenRunning(name, () => ({type: 'replica/tick', nowMs: getLocalMs(name)}));
		checkFreshness(name, node);
		schedule(tickIntervalMs, () => {
			tick(name, incarnation);
		});
	};

	const startNode = (name: string, {incarnation, disk}: {readonly incarnation: number; readonly disk: PersistedState<string>}) => {
		const description = options.nodes.find(node => node.name === name) ?? fail(`No node ${name}`);
		const diskIncarnation = disk === emptyDisk ? incarnation : diskIncarnations.get(name) ?? incarnation;
		diskIncarnations.set(name, diskIncarnation);
		pausedEvents.delete(name);
		const cfg = createCfg(description, diskIncarnation);
		startedAtMs.set(name, nowMs);
		const recovered = description.kind === 'diskless' ? undefined : getRecoveredReplica(disk);
		const {state, effects} = createReplica({cfg, nowMs: getLocalMs(name)}, recovered);
		nodes.set(name, {
			cfg, state, disk, incarnation, applied: [], isUp: true,
		});
		pendingWrites.set(name, []);
		for (const effect of effects) {
			executeEffect(name, effect);
		}

		schedule(random() * tickIntervalMs, () => {
			tick(name, incarnation);
		});
	};

	const emptyDisk = createPersistedState<string>();
	const diskIncarnations = new Map<string, number>();
	for (const {name} of options.nodes) {
		startNode(name, {incarnation: 1, disk: emptyDisk});
	}

	const createRequest = (name: string) => {
		nextRequest += 1;
		return toBrand<RequestId>(`${name}/${nextRequest}`);
	};

	return {
		getNowMs: () => nowMs,
		getLocalMs,
		getState: name => getNode(name).state,
		getApplied: name => getNode(name).applied.filter(command => command !== ''),
		getLeader: () => [...nodes].filter(([, node]) => node.isUp && node.state.role === 'leader')
			.toSorted(([, left], [, right]) => right.state.term - left.state.term)[0]?.[0],
		getFreshness: name => getConfigurationFreshness(getNode(name).state, {nowMs: getLocalMs(name), leaseMs: limits.configurationLeaseMs}),
		getOutcome: id => outcomes.get(id),
		isUp: name => getNode(name).isUp,
		isHealthy: name => getNode(name).isUp && !fullDisks.has(name),
		isLinked: (left, right) => getNode(left).isUp && getNode(right).isUp
			&& !blockedLinks.has(`${left}>${right}`) && !blockedLinks.has(`${right}>${left}`),
		getStoreId: name => getNode(name).cfg.storeId,
		getDisk: name => getNode(name).disk,
		getTraffic: name => traffic.get(name) ?? emptyTraffic,
		run(durationMs) {
			const untilMs = nowMs + durationMs;
			for (let [due] = scheduled; due !== undefined && due.atMs <= untilMs; [due] = scheduled) {
				scheduled.shift();
				nowMs = Math.max(nowMs, due.atMs);
				due.run();
			}

			nowMs = untilMs;
		},
		propose(name, command) {
			const requestId = createRequest(name);
			handle(name, {
				type: 'replica/propose', requestId, command, nowMs: getLocalMs(name),
			});
			return requestId;
		},
		read(name) {
			const requestId = createRequest(name);
			readStarts.set(requestId, Math.max(0, ...committedEntries.keys()));
			handle(name, {type: 'replica/read', requestId, nowMs: getLocalMs(name)});
			return requestId;
		},
		changeVoters(name, change) {
			const requestId = createRequest(name);
			handle(name, {
				type: 'replica/changeVoters', requestId, change, nowMs: getLocalMs(name),
			});
			return requestId;
		},
		transferLeadership(name, to) {
			handle(name, {
				type: 'replica/transferLeadership', ...(to !== undefined && {to: toBrand<NodeId>(to)}), nowMs: getLocalMs(name),
			});
		},
		giveWay(name) {
			handle(name, {type: 'replica/giveWay', nowMs: getLocalMs(name)});
		},
		hasLeaderLease(name) {
			const {cfg, state, isUp} = getNode(name);
			const nowMs = getLocalMs(name);
			const isHeld = hasLeaderLease(state, {cfg, nowMs});
			// A host asks with what it computed once for the state.
			const confirmedAtMs = Math.min(nowMs, getConfirmedSendMs(state, {cfg, nowMs: Number.POSITIVE_INFINITY}));
			if (isLeaderLeaseHeld(state, {cfg, nowMs, confirmedAtMs}) !== isHeld) {
				throw new Error(`the lease of ${name} at ${nowMs} ms differs from the one that is computed once for the state`);
			}

			return isUp && isHeld;
		},
		cut(from, to) {
			blockedLinks.add(`${from}>${to}`);
		},
		isolate(names) {
			for (const inside of names) {
				for (const {name: outside} of options.nodes.filter(({name}) => !names.includes(name))) {
					blockedLinks.add(`${inside}>${outside}`);
					blockedLinks.add(`${outside}>${inside}`);
				}
			}
		},
		disableRandomFaults() {
			lossProbability = 0;
			duplicateProbability = 0;
		},
		heal() {
			blockedLinks.clear();
		},
		crash(name) {
			getNode(name).isUp = false;
			pausedEvents.delete(name);
		},
		restart(name) {
			const node = getNode(name);
			startNode(name, {incarnation: node.incarnation + 1, disk: node.disk});
		},
		wipe(name) {
			startNode(name, {incarnation: getNode(name).incarnation + 1, disk: emptyDisk});
		},
		pause(name) {
			if (getNode(name).isUp && !pausedEvents.has(name)) {
				pausedEvents.set(name, []);
			}
		},
		resume(name) {
			const waiting = pausedEvents.get(name) ?? [];
			pausedEvents.delete(name);
			for (const createEvent of waiting) {
				handle(name, createEvent());
			}
		},
		setSyncTime(name, range) {
			syncTimes.set(name, range);
		},
		fillDisk(name) {
			fullDisks.add(name);
		},
		freeDisk(name) {
			fullDisks.delete(name);
		},
	};
}
