/**
 * One control host: its part in the replicated log, the ledger, and the leader while it leads.
 */
import {randomUUID} from 'node:crypto';
import {
	createFailure, createSuccess, describeError, toBrand, waitFor, type DataCentreId, type NodeId, type RandomSource, type RegionId, type Result, type TimerService,
} from '@samphiremill/common';
import {
	applyLedgerCommand, createLedger, createLedgerSnapshot, defaultReplicaLimits, restoreLedger,
	type Ledger, type LedgerCommand, type LedgerOutcome, type NodeAddress, type ParseConfiguration, type ReplicaLimits, type ReplicaMessage, type VoterIdentity,
} from '@samphiremill/core';
import {createPeerTransport, getEncodedLength, type PeerRequest} from '../peers/index.js';
import {createReplicaHost, type ReplicaHost} from '../replica-host.js';
import type {StructuredLogger} from '../runtime/types.js';
import {openReplicaStore, type ReplicaStore, type StoreError} from '../store/index.js';
import {createClockGuard} from './clock-guard.js';
import {createCommandBatcher} from './command-batcher.js';
import {clusterCallMethod, createClusterClient} from './cluster-client.js';
import {
	joinRefreshPeriodMs, joinRetryPeriodMs, maximumDirectMinions, voterAbsenceTimeoutMs, voterCheckPeriodMs,
} from './constants.js';
import {
	startLeader, type Leader, type SchedulerLimits,
} from './leader.js';
import type {SchedulerMetrics} from './metrics.js';
import {
	executeMinionCall, createRelayedMinionPort, minionCallMethod, type MinionCall,
} from './minion-relay.js';
import {createWorkerOrderTimes} from './order-clock.js';
import type {
	AdvicePort, ClusterAnswer, ClusterCall, ClusterReply, ConfigurationFinding, MinionPort, WorkerPort,
} from './types.js';
import {chooseVoterChange} from './voter-duty.js';

/** How a control host is set up. */
export type ControlHostSettings = {
	readonly self: NodeId;
	/** The own IP number. */
	readonly host: string;
	readonly peerPort: number;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	/** Control hosts that are known from the start; at the very first start the first voters. */
	readonly seeds: readonly NodeId[];
	/** The whole system starts for the first time, with empty disks. */
	readonly isFirstStart: boolean;
	readonly dataFolder: string;
	/** How many control hosts may be lost at once. */
	readonly toleratedLosses: number;
	readonly secret: string;
	readonly limits: SchedulerLimits;
};

/** What a control host needs of the world outside. */
export type ControlHostOptions = {
	readonly settings: ControlHostSettings;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly log: StructuredLogger;
	readonly getWallClock: () => number;
	readonly minions: MinionPort;
	readonly advice: AdvicePort;
	readonly workers: WorkerPort;
	readonly parseConfiguration: ParseConfiguration;
	readonly checkConfiguration: (document: string) => readonly ConfigurationFinding[];
	readonly metrics: SchedulerMetrics;
};

/** A running control host. */
export type ControlHost = {
	/** Has the leader decide, wherever it is. */
	readonly call: (call: ClusterCall, options: {readonly timeoutMs: number}) => Promise<ClusterAnswer>;
	readonly getLeader: () => NodeId | undefined;
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	/** Hands leadership over and ends. */
	readonly stop: () => Promise<void>;
};

const isReplicaMessage = (message: unknown): message is ReplicaMessage<LedgerCommand> =>
	typeof message === 'object' && message !== null && 'type' in message && typeof message.type === 'string' && message.type.startsWith('replica/');

const leadershipTransferWaitMs = 400;

/** Limits for hosts a few milliseconds apart. Followers need no commit before the next heartbeat. */
const replicaLimits: ReplicaLimits = {
	...defaultReplicaLimits,
	heartbeatPeriodMs: 100,
	electionTimeoutMs: 600,
	leaderLeaseMs: 450,
	commitHeartbeatIntervalMs: 100,
	snapshotEveryEntries: 3000,
	trailingEntries: 1500,
};

/**
 * Starts a control host.
 *
 * @param options - The settings and what it needs.
 * @returns The running host, or why its data folder can't be used.
 */
export async function startControlHost(options: ControlHostOptions): Promise<Result<ControlHost, StoreError>> {
	const {
		settings, timers, random, log, metrics, getWallClock, parseConfiguration,
	} = options;
	const {self} = settings;
	const opened = await openReplicaStore<LedgerCommand>({folder: settings.dataFolder, shouldLock: false});
	if (!opened.ok) {
		return createFailure(opened.err);
	}

	const store: ReplicaStore<LedgerCommand> = opened.value;
	const {storeId} = store;
	const clockGuard = createClockGuard({getNow: timers.getNow, getWallClock});
	const orderClock = createWorkerOrderTimes(timers);
	let ledger: Ledger = createLedger();
	let leader: Leader | undefined;
	let isStopped = false;
	let lastJoinAtMs = Number.NEGATIVE_INFINITY;
	const lastLinkedAtMs = new Map<NodeId, number>();

	const resolvePeer = (node: NodeId): NodeAddress => ({
		node, host: node, peerPort: settings.peerPort, dataCentre: settings.dataCentre, region: settings.region, isVoter: false,
	});

	const answerPeer = async ({method, params}: PeerRequest): Promise<unknown> => {
		if (method === minionCallMethod) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- links are authenticated, and both ends run the same build
			return executeMinionCall(params as MinionCall, {minions: options.minions, term: ledger.term});
		}

		if (method !== clusterCallMethod) {
			throw new Error(`no method ${method}`);
		}

		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- links are authenticated, and both ends run the same build
		return answerLocally(params as ClusterCall);
	};

	const transport = createPeerTransport({
		self: resolvePeer(self),
		incarnation: Math.floor(getWallClock()),
		peers: [],
		resolvePeer,
		secret: settings.secret,
		timers,
		random,
		onMessage(from, message) {
			lastLinkedAtMs.set(from, timers.getNow());
			if (isReplicaMessage(message)) {
				replica.receive(from, message);
			}
		},
		onLinkChanged({peer, isUp}) {
			if (isUp) {
				lastLinkedAtMs.set(peer, timers.getNow());
			}
		},
		onRequest: answerPeer,
	});

	const client = createClusterClient({
		transport, timers, self, seeds: settings.seeds,
	});

	const createNodes = (seeds: readonly NodeId[]) => [...new Set([self, ...seeds])].map(node => ({
		node,
		dataCentre: node === self ? settings.dataCentre : toBrand<DataCentreId>(`of ${node}`),
		isInitialVoter: node === self ? settings.isFirstStart && seeds.includes(self) : seeds.includes(node),
	}));

	const replica: ReplicaHost<LedgerCommand, LedgerOutcome> = createReplicaHost<LedgerCommand, LedgerOutcome>({
		cfg: {
			self, nodes: createNodes(settings.seeds), limits: replicaLimits, random, measureEntry: getEncodedLength,
		},
		store,
		timers,
		processId: randomUUID(),
		send: transport.send,
		applyCommand(command) {
			orderClock.recordCommand(command);
			return applyLedgerCommand(ledger, command, parseConfiguration);
		},
		createSnapshot: () => createLedgerSnapshot(ledger),
		installSnapshot(data) {
			ledger = restoreLedger(data, parseConfiguration);
			orderClock.recordRestore();
		},
		onRoleChanged({role, term, leader: node}) {
			log.info(`the replicated log is in term ${term}: ${role}`, {role, term, leader: node});
			client.setLeader(node);
			leader?.stop();
			leader = undefined;
			if (role === 'leader') {
				void startLeading(term);
			}
		},
		onStoreFailed(err) {
			log.error('the data folder failed; this host neither votes nor leads any more', {err});
		},
	});

	// Few minions are served best without the way over another host.
	const listRelays = () => ledger.incarnations.size <= maximumDirectMinions
		? []
		: transport.listLinkedPeers().filter(node => ledger.controlHosts.has(node));

	const relayedMinions = createRelayedMinionPort({
		direct: options.minions, transport, timers, listRelays,
	});

	const canAct = () => replica.hasLeaderLease() && replica.wasConfirmedSince(clockGuard.check());

	const propose = createCommandBatcher(async command => {
		const proposedAtMs = timers.getNow();
		const result = await replica.propose(command);
		metrics.record('commit_ms', timers.getNow() - proposedAtMs);
		if (result.ok) {
			return {type: 'applied', outcome: result.value.outcome};
		}

		return {type: result.err.type === 'notProposed' ? 'notProposed' : 'unknown'};
	}, err => {
		log.error('an unexpected error ended a proposal', {err: describeError(err)});
	});

	const startLeading = async (term: number) => {
		const decision = await propose({type: 'term/begun', term});
		const {role, term: presentTerm} = replica.getState();
		if (isStopped || decision.type !== 'applied' || role !== 'leader' || presentTerm !== term || ledger.term !== term) {
			return;
		}

		metrics.count('terms_led_total');
		log.info(`leads in term ${term}`, {
			term, configuration: ledger.configuration?.version, jobs: ledger.activeJobs.size, minions: ledger.incarnations.size,
		});
		leader = startLeader({
			self,
			term,
			limits: settings.limits,
			timers,
			log,
			getWallClock,
			getLedger: () => ledger,
			canAct,
			getLastOrderAtMs: orderClock.getLastOrderAtMs,
			propose,
			onFenced() {
				log.warn(`a minion follows a newer leader than term ${term}`, {term});
				leader?.stop();
				leader = undefined;
				replica.transferLeadership();
			},
			minions: relayedMinions,
			advice: options.advice,
			workers: options.workers,
			checkConfiguration: options.checkConfiguration,
			metrics,
		});
	};

	const listHosts = () => [...new Set([...replica.getState().voters.map(({node}) => node), ...ledger.controlHosts.keys()])];

	const answerLocally = async (call: ClusterCall): Promise<ClusterReply> => {
		if (leader === undefined) {
			const knownLeader = replica.getState().leader;
			return {type: 'notLeader', leader: knownLeader === self ? undefined : knownLeader, hosts: listHosts()};
		}

		return {type: 'answer', answer: await leader.answer(call), leader: self};
	};

	const call: ControlHost['call'] = async (request, {timeoutMs}) => {
		if (leader !== undefined) {
			return leader.answer(request);
		}

		const result = await client.call(request, {timeoutMs});
		if (result.type === 'answered') {
			return result.answer;
		}

		return {type: result.type === 'notRun' ? 'unavailable' : 'uncertain'};
	};

	const isMember = () => ledger.controlHosts.get(self)?.storeId === storeId;

	const join = () => {
		const periodMs = isMember() ? joinRefreshPeriodMs : joinRetryPeriodMs;
		if (timers.getNow() - lastJoinAtMs < periodMs || isStopped) {
			return;
		}

		lastJoinAtMs = timers.getNow();
		client.addHosts(listHosts());
		if (!isMember()) {
			void call({type: 'host/join', node: self, storeId}, {timeoutMs: joinRetryPeriodMs});
		}
	};

	const isReachable = (node: NodeId) => node === self || transport.listLinkedPeers().includes(node);

	const maintainVoters = () => {
		const nowMs = timers.getNow();
		for (const node of transport.listLinkedPeers()) {
			lastLinkedAtMs.set(node, nowMs);
		}

		if (leader === undefined || !canAct()) {
			return;
		}

		const {voters} = replica.getState();
		const change = chooseVoterChange({
			self,
			voters,
			hosts: [...ledger.controlHosts.values()],
			wantedVoters: (2 * settings.toleratedLosses) + 1,
			isReachable,
			isAbsent: node => node !== self && nowMs - (lastLinkedAtMs.get(node) ?? startedAtMs) > voterAbsenceTimeoutMs,
		});
		if (change !== undefined && !isChangingVoters) {
			isChangingVoters = true;
			log.info('the voters change', {change, voters: voters.map(({node}: VoterIdentity) => node)});
			void replica.changeVoters(change).then(result => {
				isChangingVoters = false;
				log.info(`the change of voters ${result.ok ? 'is done' : 'failed'}`, {change, ...(!result.ok && {err: result.err})});
			});
		}
	};

	let isChangingVoters = false;
	const startedAtMs = timers.getNow();
	await transport.start();
	const cancelTimers = [
		timers.scheduleEvery(joinRetryPeriodMs, join),
		timers.scheduleEvery(voterCheckPeriodMs, maintainVoters),
	];

	return createSuccess({
		call,
		getLeader: () => replica.getState().leader,
		setSeeds(seeds) {
			client.addHosts(seeds);
			replica.setNodes(createNodes(seeds));
		},
		async stop() {
			isStopped = true;
			replica.transferLeadership();
			await waitFor(timers, leadershipTransferWaitMs);
			leader?.stop();
			leader = undefined;
			for (const cancel of cancelTimers) {
				cancel();
			}

			replica.stop();
			await transport.close();
			await store.close();
		},
	});
}
