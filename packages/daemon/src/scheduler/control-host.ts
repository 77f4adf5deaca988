/**
 * A control host: replicates the log, applies it to the ledger, and runs the leader while this host leads.
 */
import {randomUUID} from 'node:crypto';
import {
	createFailure, createSuccess, describeError, toBrand, waitFor, type DataCentreId, type MinionId, type NodeId, type RandomSource, type RegionId, type Result, type TimerService,
} from '@samphiremill/common';
import {
	applyLedgerCommand, chooseVoterChange, controlHostReplicaLimits, createLedger, createLedgerSnapshot, getLastIndex, hasVoter, isDiskHanging, isLeaderReplaceable, listStalledVoters, restoreLedger,
	type Ledger, type LedgerCommand, type LedgerOutcome, type NodeAddress, type ParseConfiguration, type ReplicaMessage, type VoterChange, type VoterChangeInput, type VoterIdentity,
} from '@samphiremill/core';
import {createPeerTransport, getEncodedBytes, type PeerRequest} from '../peers/index.js';
import {createReplicaHost, type ReplicaHost} from '../replica-host.js';
import type {StructuredLogger} from '../runtime/types.js';
import {openReplicaStore, type ReplicaStore, type StoreError} from '../store/index.js';
import {beginTerm} from './begin-term.js';
import {createClockGuard} from './clock-guard.js';
import {createCommandBatcher} from './command-batcher.js';
import {isCutOff} from './cut-off.js';
import {clusterCallMethod, createClusterClient, type ClusterCallOptions} from './cluster-client.js';
import {
	commitSpacingMs, failedVoterRetryDelayMs, jobCleanupPeriodMs, joinRefreshPeriodMs, joinRetryPeriodMs, leadershipCheckPeriodMs, relayAnswerDelayMs, reportBundlePeriodMs, voterAbsenceTimeoutMs, voterCheckPeriodMs,
} from './constants.js';
import {createEndedJobs} from './ended-jobs.js';
import {
	startLeader, type Leader, type SchedulerLimits,
} from './leader.js';
import {createLeadershipReport} from './leadership-report.js';
import type {LeadershipStatus} from './leadership-status.js';
import type {SchedulerMetrics} from './metrics.js';
import {
	chooseReportHost, executeMinionCall, createRelayedMinionPort, minionCallMethod, needsRelays, type MinionCall,
} from './minion-relay.js';
import {createReportCollector} from './report-collector.js';
import {createOrderLog} from './order-log.js';
import {createWaveTimes} from './wave-times.js';
import {createWorkerOrderTimes} from './worker-order-times.js';
import type {
	AdvicePort, ClusterAnswer, ClusterCall, ClusterReply, ConfigurationFinding, MinionPort, WorkerPort,
} from './types.js';

/** Settings of a control host. */
export type ControlHostSettings = {
	readonly self: NodeId;
	/** IP address of this host. */
	readonly host: string;
	readonly peerPort: number;
	readonly dataCentre: DataCentreId;
	readonly region: RegionId;
	/** Control hosts that are known from the settings; on the first start of the cluster they are the initial voters. */
	readonly seeds: readonly NodeId[];
	/** Whether the whole cluster starts for the first time, with empty disks. */
	readonly isFirstStart: boolean;
	readonly dataFolder: string;
	/** How many control hosts may fail at the same time. */
	readonly toleratedLosses: number;
	readonly secret: string;
	readonly limits: SchedulerLimits;
};

/** Dependencies of a control host. */
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
	readonly readConfigurationVersion: (document: string) => number | undefined;
	readonly metrics: SchedulerMetrics;
};

/** A running control host. */
export type ControlHost = {
	/** Has the leader answer a call, on this host or another. */
	readonly call: (call: ClusterCall, options: {readonly timeoutMs: number}) => Promise<ClusterAnswer>;
	/** Returns the control host that a minion should send its reports to; `undefined` while no leader is known. */
	readonly getReportHost: (minion: MinionId) => NodeId | undefined;
	/** Returns what this host knows of the leadership; `undefined` in the first second. */
	readonly getLeadership: () => LeadershipStatus | undefined;
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	/** Transfers leadership to another host and stops. */
	readonly stop: () => Promise<void>;
};

const isReplicaMessage = (message: unknown): message is ReplicaMessage<LedgerCommand> =>
	typeof message === 'object' && message !== null && 'type' in message && typeof message.type === 'string' && message.type.startsWith('replica/');

const listFailures = (outcome: LedgerOutcome): ReadonlyArray<LedgerOutcome & {readonly type: 'failed'}> => {
	if (outcome.type === 'batch') {
		return outcome.outcomes.flatMap(part => listFailures(part));
	}

	return outcome.type === 'failed' ? [outcome] : [];
};

const leadershipTransferWaitMs = 400;

/**
 * Starts a control host.
 *
 * @returns The running host, or why its data folder cannot be used.
 */
export async function startControlHost(options: ControlHostOptions): Promise<Result<ControlHost, StoreError>> {
	const {
		settings, timers, random, log, metrics, getWallClock, parseConfiguration, readConfigurationVersion,
	} = options;
	const {self} = settings;
	const opened = await openReplicaStore<LedgerCommand>({
		folder: settings.dataFolder,
		timers,
		shouldLock: false,
		onWritesFailing({err}) {
			log.error('writes to the data folder fail; this host neither votes nor acknowledges until they succeed', {...err});
		},
		onWritesRecovered({durationMs, tries}) {
			log.info('writes to the data folder succeed again', {durationMs, tries});
		},
	});
	if (!opened.ok) {
		return createFailure(opened.err);
	}

	const store: ReplicaStore<LedgerCommand> = opened.value;
	const {storeId} = store;
	const clockGuard = createClockGuard({getNow: timers.getNow, getWallClock});
	const workerOrderTimes = createWorkerOrderTimes(timers);
	const waveTimes = createWaveTimes({timers, getWallClock});
	const endedJobs = createEndedJobs({timers, getLedger: () => ledger});
	let ledger: Ledger = createLedger();
	let leader: Leader | undefined;
	let isStopped = false;
	let lastAnnouncedAtMs = Number.NEGATIVE_INFINITY;
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
			throw new Error(`unknown peer request method "${method}"`);
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

			if (ledger.controlHosts.has(peer) || settings.seeds.includes(peer)) {
				log.info(`the link with control host ${peer} is ${isUp ? 'up' : 'down'}`, {peer, isUp});
			}
		},
		getAnswerDelayMs: method => method === minionCallMethod ? relayAnswerDelayMs : 0,
		onRequest: answerPeer,
		onConnectionRejected({peer, isEstablished, reason}) {
			log.warn(`the connection with ${peer ?? 'an unnamed host'} is closed, since a frame on it cannot be read: ${reason.type}`, {peer, isEstablished, reason});
		},
		onUnexpectedError(err) {
			log.error('unexpected error in a message of another host', {err: describeError(err)});
		},
	});

	const client = createClusterClient({
		transport, timers, self, seeds: settings.seeds, answerHere: (request): Promise<ClusterAnswer> | undefined => leader?.answer(request), isLinked: node => isReachable(node),
	});

	const createNodes = (seeds: readonly NodeId[]) => [...new Set([self, ...seeds])].map(node => ({
		node,
		dataCentre: node === self ? settings.dataCentre : toBrand<DataCentreId>(`of ${node}`),
		isInitialVoter: node === self ? settings.isFirstStart && seeds.includes(self) : seeds.includes(node),
	}));

	const replica: ReplicaHost<LedgerCommand, LedgerOutcome> = createReplicaHost<LedgerCommand, LedgerOutcome>({
		cfg: {
			self, nodes: createNodes(settings.seeds), limits: controlHostReplicaLimits, random, measureEntry: getEncodedBytes,
		},
		store,
		timers,
		processId: randomUUID(),
		send: transport.send,
		applyCommand(command, index) {
			const outcome = applyLedgerCommand(ledger, command, parseConfiguration);
			for (const {reason} of listFailures(outcome)) {
				log.error(`entry ${index} of the log could not be applied`, {index, type: command.type, reason});
			}

			workerOrderTimes.recordCommand(command);
			waveTimes.recordCommand(command);
			return outcome;
		},
		createSnapshot: () => createLedgerSnapshot(ledger),
		installSnapshot(data) {
			ledger = restoreLedger(data, parseConfiguration);
			workerOrderTimes.recordRestore();
			waveTimes.recordRestore();
		},
		onRoleChanged({role, term, leader: node}) {
			log.info(`the replicated log is in term ${term}, this host is ${role}`, {role, term, leader: node});
			client.setLeader(node);
			leader?.stop();
			leader = undefined;
			if (role === 'leader') {
				void startLeading(term);
			}
		},
		onSnapshotTaken({index, length, serializeMs, handOverMs}) {
			metrics.record('snapshot_ms', serializeMs + handOverMs);
			log.info(`snapshot of the log up to entry ${index}: ${length} characters`, {
				index, length, serializeMs: Math.round(serializeMs), handOverMs: Math.round(handOverMs), isLeading: leader !== undefined,
			});
		},
		onFailure({activity, index, err}) {
			log.error(`unexpected error in ${activity}`, {activity, index, err: describeError(err)});
		},
	});

	const listRelays = () => needsRelays(ledger.incarnations.size)
		? transport.listLinkedPeers().filter(node => ledger.controlHosts.has(node))
		: [];

	const relayedMinions = createRelayedMinionPort({
		direct: options.minions, transport, timers, listRelays,
	});

	const canAct = () => replica.hasLeaderLease() && replica.wasConfirmedSince(clockGuard.check());

	const propose = createCommandBatcher({
		timers,
		spacingMs: commitSpacingMs,
		async propose(command) {
			const proposedAtMs = timers.getNow();
			const result = await replica.propose(command);
			metrics.record('commit_ms', timers.getNow() - proposedAtMs);
			if (result.ok) {
				return result.value.hasFailed ? {type: 'unknown'} : {type: 'applied', outcome: result.value.outcome};
			}

			return {type: result.err.type === 'notProposed' ? 'notProposed' : 'unknown'};
		},
		onError(err) {
			log.error('unexpected error in a proposal', {err: describeError(err)});
		},
		onTooLarge(type, bytes) {
			metrics.count('commands_too_large_total', type);
			log.error(`a command ${type} of ${bytes} bytes fits into no entry of the log`, {type, bytes});
		},
	});

	const isLeading = (term: number) => {
		const {role, term: presentTerm} = replica.getState();
		return !isStopped && role === 'leader' && presentTerm === term;
	};

	const startDuties = (term: number) => {
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
			canAct: () => isLeading(term) && canAct(),
			getLastOrderAtMs: workerOrderTimes.getLastOrderAtMs,
			maintenanceTimes: waveTimes,
			endedJobs,
			propose,
			onFenced() {
				log.warn(`a minion has accepted orders of a leader newer than term ${term}; stepping down`, {term});
				leader?.stop();
				leader = undefined;
				replica.giveWay();
			},
			minions: relayedMinions.port,
			getTraffic: () => ({...relayedMinions.getCounts(), ...transport.getCounters()}),
			advice: options.advice,
			workers: options.workers,
			checkConfiguration: options.checkConfiguration,
			metrics,
		});
	};

	const startLeading = async (term: number) => beginTerm({
		term,
		timers,
		log,
		proposeTerm: async () => propose({type: 'term/begun', term}),
		isCurrent: () => isLeading(term),
		hasBegun: () => ledger.term === term,
		startDuties() {
			startDuties(term);
		},
		giveWay: replica.giveWay,
	});

	const listControlHosts = () => [...new Set([...replica.getState().voters.map(({node}) => node), ...ledger.controlHosts.keys()])];

	const listReachableHosts = () => listControlHosts().filter(node => isReachable(node));

	const answerLocally = async (call: ClusterCall): Promise<ClusterReply> => {
		if (leader === undefined) {
			const knownLeader = replica.getState().leader;
			return {type: 'notLeader', leader: knownLeader === self ? undefined : knownLeader, hosts: listControlHosts()};
		}

		const answer = await leader.answer(call);
		// Each entry host reads the limits once a second, and so learns of replaced hosts while the leader stays.
		return {
			type: 'answer', answer, leader: self, ...(call.type === 'limits/read' && {hosts: listReachableHosts()}),
		};
	};

	const reportCollector = createReportCollector({
		timers,
		getLedger: () => ledger,
		isInContact: () => replica.getState().leader !== undefined && replica.getFreshness() === 'fresh',
		send(reports) {
			void call({type: 'minion/reportsSeen', reports}, {timeoutMs: reportBundlePeriodMs});
		},
	});

	const beginOrder = createOrderLog({
		timers,
		log,
		metrics,
		readConfigurationVersion,
		getLead() {
			const {role, term, leader: node} = replica.getState();
			return {
				role, term, leader: node, hasDuties: leader !== undefined,
			};
		},
	});

	const findAnswer = async (request: ClusterCall, {timeoutMs, onAttempt}: ClusterCallOptions): Promise<ClusterAnswer> => {
		if (leader !== undefined) {
			return leader.answer(request);
		}

		if (request.type === 'minion/report' && reportCollector.collect(request.report)) {
			return {type: 'done'};
		}

		if (isAlone()) {
			return {type: 'unavailable'};
		}

		const result = await client.call(request, {timeoutMs, onAttempt});
		if (result.type === 'answered') {
			return result.answer;
		}

		return {type: result.type === 'notRun' ? 'unavailable' : 'uncertain'};
	};

	const call: ControlHost['call'] = async (request, {timeoutMs}) => {
		const trace = beginOrder(request);
		const answer = await findAnswer(request, {timeoutMs, onAttempt: trace?.addAttempt});
		trace?.end(answer);
		return answer;
	};

	const isMember = () => ledger.controlHosts.get(self)?.storeId === storeId;

	const requestJoin = async () => {
		const requestedAtMs = timers.getNow();
		const {type: answer} = await call({type: 'host/join', node: self, storeId}, {timeoutMs: joinRetryPeriodMs});
		log.info(`asked to join the control hosts: ${answer}`, {
			answer, storeId, tookMs: Math.round(timers.getNow() - requestedAtMs), sinceStartMs: Math.round(timers.getNow() - startedAtMs), leader: replica.getState().leader, linkedHosts: listControlHosts().filter(node => node !== self && isReachable(node)),
		});
	};

	const announceSelf = () => {
		const periodMs = isMember() ? joinRefreshPeriodMs : joinRetryPeriodMs;
		if (timers.getNow() - lastAnnouncedAtMs < periodMs || isStopped) {
			return;
		}

		lastAnnouncedAtMs = timers.getNow();
		client.addHosts(listControlHosts());
		if (!isMember()) {
			void requestJoin();
		}
	};

	const isReachable = (node: NodeId) => node === self || transport.listLinkedPeers().includes(node);

	const isAlone = () => isCutOff({
		nowMs: timers.getNow(),
		startedAtMs,
		hosts: [...new Set([...listControlHosts(), ...client.getHosts()])].filter(node => node !== self),
		isLinked: isReachable,
		getLastLinkedAtMs: node => lastLinkedAtMs.get(node),
	});

	const maintainVoters = () => {
		const nowMs = timers.getNow();
		for (const node of transport.listLinkedPeers()) {
			lastLinkedAtMs.set(node, nowMs);
		}

		if (leader === undefined || !canAct()) {
			return;
		}

		const {voters, term} = replica.getState();
		if (changingInTerm === term) {
			return;
		}

		const stalled = new Set(listStalledVoters(replica.getState(), {self, nowMs, timeoutMs: voterAbsenceTimeoutMs}).map(({node}) => node));
		const input: VoterChangeInput = {
			self,
			voters,
			hosts: [...ledger.controlHosts.values()],
			wantedVoters: (2 * settings.toleratedLosses) + 1,
			isReachable,
			isAbsent: node => node === self
				? isDiskHanging(replica.getState(), {nowMs, timeoutMs: voterAbsenceTimeoutMs})
				: stalled.has(node) || nowMs - (lastLinkedAtMs.get(node) ?? startedAtMs) > voterAbsenceTimeoutMs,
			isDeferred: node => nowMs < (changeRetryAtMs.get(node) ?? nowMs),
			getFailedAtMs: node => changeRetryAtMs.get(node),
		};
		if (isLeaderReplaceable(input)) {
			log.warn('the disk of this leader hangs; giving way, so that it is replaced', {term});
			replica.giveWay();
			return;
		}

		const change = chooseVoterChange(input);
		if (change !== undefined) {
			void changeVoters(change, term);
		}
	};

	const leadershipReport = createLeadershipReport({log, metrics, nowMs: timers.getNow()});

	const reportLeadership = () => {
		const state = replica.getState();
		leadershipReport.record({
			self,
			replica: state,
			lastIndex: getLastIndex(state.log),
			isVoter: hasVoter(state.voters, {node: self, storeId}),
			hasDuties: leader !== undefined,
			hasLeaderLease: replica.hasLeaderLease(),
			isConfirmed: replica.getFreshness() === 'fresh',
			linkedPeers: transport.listLinkedPeers(),
			nowMs: timers.getNow(),
		});
	};

	// What was sent to the learner tells why it caught up slowly; it is unknown once the change has failed.
	const describeCatchUp = (change: VoterChange) => {
		const {leadership, log: replicaLog, snapshot} = replica.getState();
		return {
			sent: change.type === 'add' ? leadership?.progress.get(change.voter.node)?.traffic : undefined,
			logEntries: getLastIndex(replicaLog) - replicaLog.baseIndex,
			snapshotLength: snapshot?.data.length ?? 0,
		};
	};

	const changeVoters = async (change: VoterChange, term: number) => {
		changingInTerm = term;
		const changedAtMs = timers.getNow();
		const {droppedMessages} = transport.getCounters();
		log.info('the voters change', {change, voters: replica.getState().voters.map(({node}: VoterIdentity) => node), ...describeCatchUp(change)});
		const result = await replica.changeVoters(change);
		log.info(`the change of voters ${result.ok ? 'succeeded' : 'failed'}`, {
			change,
			...(!result.ok && {err: result.err}),
			tookMs: Math.round(timers.getNow() - changedAtMs),
			droppedMessages: transport.getCounters().droppedMessages - droppedMessages,
			...describeCatchUp(change),
		});
		changingInTerm = changingInTerm === term ? undefined : changingInTerm;
		if (result.ok) {
			maintainVoters();
		} else if (change.type === 'add' && result.err.type === 'invalidVoterChange' && result.err.reason === 'learnerTooSlow') {
			changeRetryAtMs.set(change.voter.node, timers.getNow() + failedVoterRetryDelayMs);
		}
	};

	// The term in which a change is under way. A change of an earlier term must not keep this one from its own.
	let changingInTerm: number | undefined;
	const changeRetryAtMs = new Map<NodeId, number>();
	const startedAtMs = timers.getNow();
	await transport.start();
	const cancelTimers = [
		timers.scheduleEvery(joinRetryPeriodMs, announceSelf),
		timers.scheduleEvery(jobCleanupPeriodMs, endedJobs.update),
		timers.scheduleEvery(voterCheckPeriodMs, maintainVoters),
		timers.scheduleEvery(leadershipCheckPeriodMs, reportLeadership),
	];

	return createSuccess({
		call,
		getReportHost: minion => chooseReportHost({
			minion, self, leader: replica.getState().leader, relays: listRelays(),
		}),
		getLeadership: leadershipReport.getStatus,
		setSeeds(seeds) {
			client.setSeeds(seeds);
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
