/**
 * Starts one entry host: the reducer and its shell of data folder, peer links, minions, timers and HTTP.
 */
import {randomUUID} from 'node:crypto';
import {
	createFailure, createSuccess, toBrand, waitFor, type JobId, type RandomSource, type Result, type TimerService, type WallClockMs,
} from '@samphiremill/common';
import {
	createNodeState,
	hasAllRecords,
	type ClaimRecord,
	type ControlCommand,
	type JobsDecision,
} from '@samphiremill/core';
import {createMinionClient} from '../dispatch/index.js';
import {createBodyBudget} from '../http/read-body.js';
import {listRoutes} from '../http/routes.js';
import {startHttpServer} from '../http/server.js';
import {createPeerTransport} from '../peers/index.js';
import type {Settings} from '../settings/index.js';
import type {StoreError} from '../store/index.js';
import {startDaemonWaveController} from '../wave-controller/index.js';
import {
	freshnessCheckPeriodMs, leaveNoticeMs, leavePollMs, longestLeaveHandoverMs, nodeTickPeriodMs, taskLeaseCheckPeriodMs,
} from './constants.js';
import {startControlHost} from './control-host.js';
import {listExpiredTaskLeases} from './list-expired-task-leases.js';
import {createJobRegistry} from './job-registry.js';
import {createEffectHandler} from './effect-handler.js';
import {createNodeConfig, getSelfAddress} from './node-config.js';
import {openDataFolder} from './open-data-folder.js';
import {isNodeMessage, isReplicaMessage} from './peer-messages.js';
import {createDecisionHistory} from './decision-history.js';
import {startLeaderPlanning} from './leader-planning.js';
import {logDecision} from './log-decision.js';
import {createMetrics} from './metrics.js';
import {createOperatorContext, createReportSource} from './operator-context.js';
import {answerReportRequest} from './peer-reports.js';
import {createNodeEngine} from './node-engine.js';
import type {Runtime, StructuredLogger} from './types.js';

/** The settings and the environment of a daemon. */
export type StartDaemonOptions = {
	readonly settings: Settings;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly log: StructuredLogger;
	readonly getWallClock: () => WallClockMs;
	/** Commands that the leader proposes to an empty log. */
	readonly seedCommands: readonly ControlCommand[];
};

/** A running daemon. */
export type Daemon = {
	readonly httpHost: string;
	readonly httpPort: number;
	readonly runtime: Runtime;
	/** Stops accepting work, completes open requests, transfers leadership, hands over its claims and tells its peers that it leaves. */
	readonly stop: () => Promise<void>;
};

/**
 * Starts a daemon.
 *
 * @returns The running daemon, or why its data folder cannot be used.
 * @throws The system's error if an address cannot be bound.
 */
export async function startDaemon(options: StartDaemonOptions): Promise<Result<Daemon, StoreError>> {
	const {settings, timers, random, log, getWallClock, seedCommands} = options;
	const opened = await openDataFolder({
		folder: settings.dataFolder,
		timers,
		log,
		journalUser: {
			getLiveRecords: () => engine.getState().claims.records,
			onSynced(records) {
				confirmClaims(records);
			},
		},
	});
	if (!opened.ok) {
		return createFailure(opened.err);
	}

	const dataFolder = opened.value;
	const incarnation = getWallClock();
	const processId = randomUUID();
	const self = getSelfAddress(settings);
	const addresses = [self, ...settings.peers];
	const cfg = createNodeConfig({
		settings,
		self,
		incarnation,
		random,
		// Without a data folder it is unknown how an earlier process ended.
		mayHaveEarlierTasks: dataFolder === undefined || dataFolder.hadUnplannedStop,
	});
	const metrics = createMetrics();
	const bodyBudget = createBodyBudget(settings.limits.bodyBudgetBytes);
	const client = createMinionClient({timers});
	const history = createDecisionHistory();
	let isStopping = false;
	let areRecordsConfirmed = false;
	let nextJobNumber = 1;

	const transport = createPeerTransport({
		self,
		incarnation,
		peers: settings.peers,
		secret: settings.clusterSecret,
		timers,
		random,
		onMessage(from, message) {
			if (isReplicaMessage(message)) {
				controlHost.replica.receive(from, message);
			} else if (isNodeMessage(message)) {
				engine.dispatch({
					type: 'peer/received', from, message, nowMs: timers.getNow(),
				});
			} else {
				metrics.count('malformedPeerMessages');
			}
		},
		onRequest: async req => answerReportRequest(reports, req),
		onLinkChanged({peer, isUp}) {
			engine.dispatch({
				type: 'membership/linkChanged', peer, isUp, nowMs: timers.getNow(),
			});
		},
	});

	const recordDecision = (decision: JobsDecision) => {
		history.add(decision, getWallClock());
		logDecision(log, decision);
	};

	// While the disk refused writes, the key may have become free and another job may have claimed it, with the same version.
	const confirmClaims = (records: Iterable<ClaimRecord>) => {
		for (const {name, job, version} of records) {
			if (engine.getState().claims.records.get(name)?.job === job) {
				engine.dispatch({
					type: 'claims/persisted', name, version, nowMs: timers.getNow(),
				});
			}
		}
	};

	const persistClaim = (record: ClaimRecord) => {
		dataFolder?.journal.write(record);
	};

	const engine = createNodeEngine({
		self: settings.node,
		initial: createNodeState({
			self: settings.node, dataCentre: settings.dataCentre, cfg, nowMs: timers.getNow(),
		}),
		cfg,
		timers,
		isConfigurationFresh: () => controlHost.replica.getFreshness() === 'fresh',
		send({to, message}) {
			transport.send(to, message);
		},
		executeEffect: createEffectHandler({getRegistry: () => registry, persistClaim, recordDecision}),
	});

	engine.dispatch({
		type: 'claims/restored',
		records: dataFolder?.journal.recovered ?? [],
		isComplete: dataFolder !== undefined && (dataFolder.isFirstStart || dataFolder.journal.isComplete),
		nowMs: timers.getNow(),
	});

	const registry = createJobRegistry({
		client, timers, bodyBudget, metrics, getState: engine.getState, dispatch: engine.dispatch,
	});

	const dispatchControlChanged = (isRestart: boolean) => {
		engine.dispatch({
			type: 'node/controlChanged', control: controlHost.getControl(), isRestart, nowMs: timers.getNow(),
		});
	};

	const controlHost = startControlHost({
		self: settings.node,
		addresses,
		store: dataFolder?.store,
		timers,
		random,
		processId,
		log,
		send: transport.send,
		onChanged() {
			// The first confirmed read takes over everything committed before this start in a single event.
			if (areRecordsConfirmed) {
				dispatchControlChanged(false);
			}
		},
		onLeaderChanged(leader) {
			engine.dispatch({type: 'escrow/leaderChanged', leader, nowMs: timers.getNow()});
		},
	});

	const confirmRecords = async (): Promise<void> => {
		const result = await controlHost.replica.read();
		if (result.ok) {
			areRecordsConfirmed = true;
			// Without a data folder it is unknown whether an earlier process of this host held records.
			dispatchControlChanged(dataFolder?.isFirstStart !== true);
			return;
		}

		// Without a quorum the read fails only after its time limit, so this is no busy loop.
		if (!isStopping) {
			await confirmRecords();
		}
	};

	let wasFresh = false;
	const checkFreshness = () => {
		const isFresh = controlHost.replica.getFreshness() === 'fresh';
		if (isFresh !== wasFresh) {
			wasFresh = isFresh;
			engine.dispatch({type: 'node/freshnessChanged', isFresh, nowMs: timers.getNow()});
			log.info(`the records are ${isFresh ? 'confirmed' : 'stale'}`, {isFresh});
		}
	};

	const runtime: Runtime = {
		settings,
		timers,
		bodyBudget,
		getWallClock,
		createJobId() {
			const id = `${settings.node}.${processId.slice(0, 8)}.${nextJobNumber}`;
			nextJobNumber += 1;
			return toBrand<JobId>(id);
		},
		getControl: controlHost.getControl,
		getState: engine.getState,
		getFreshness: controlHost.replica.getFreshness,
		isStopping: () => isStopping,
		dispatch: engine.dispatch,
		submit(job) {
			metrics.count('jobsSubmitted');
			registry.add(job);
			engine.dispatch({type: 'jobs/submitted', spec: job.spec, nowMs: timers.getNow()});
		},
		async propose(command) {
			const result = await controlHost.replica.propose(command);
			return result.ok ? createSuccess({index: result.value.index, answer: result.value.outcome}) : result;
		},
		membershipConfig: cfg.membership.membership,
		log,
		metrics,
	};
	const contextSource = {
		runtime, transport, history, getReplica: controlHost.replica.getState,
	};
	const reports = createReportSource(contextSource);

	await transport.start();
	const reportedLeaseExpiries = new Map<string, number>();
	const expireTaskLeases = () => {
		for (const event of listExpiredTaskLeases({state: engine.getState(), reported: reportedLeaseExpiries, nowMs: timers.getNow()})) {
			reportedLeaseExpiries.set(event.minion, event.incarnation);
			log.warn(`minion ${event.minion} has stopped answering and the leases of its tasks have expired`, {...event});
			engine.dispatch(event);
		}
	};

	const cancelTimers = [
		timers.scheduleEvery(taskLeaseCheckPeriodMs, expireTaskLeases),
		timers.scheduleEvery(nodeTickPeriodMs, () => {
			engine.dispatch({type: 'node/tick', nowMs: timers.getNow()});
		}),
		timers.scheduleEvery(freshnessCheckPeriodMs, checkFreshness),
		startLeaderPlanning({
			timers,
			hasLeaderLease: controlHost.replica.hasLeaderLease,
			getControl: controlHost.getControl,
			getNode: engine.getState,
			propose: runtime.propose,
			seedCommands,
			log,
		}),
		startDaemonWaveController({
			runtime,
			hasLeaderLease: controlHost.replica.hasLeaderLease,
			getAppliedIndex: () => controlHost.replica.getState().commitIndex,
		}),
	];
	void confirmRecords();
	const server = await startHttpServer({
		...settings.listen.http,
		maximumConnections: settings.limits.maximumConnections,
		routes: listRoutes(runtime, createOperatorContext(contextSource)),
		onClientError() {
			metrics.count('malformedRequests');
		},
		onUnexpectedError(err) {
			metrics.count('unexpectedErrors');
			log.error('a request failed unexpectedly', {err: err instanceof Error ? err.stack : String(err)});
		},
	});
	log.info(`listening on ${server.host}:${server.port}`, {node: settings.node, dataCentre: settings.dataCentre});

	const waitForHandover = async () => {
		const untilMs = timers.getNow() + longestLeaveHandoverMs;
		while (engine.getState().claims.awaitedLeaveConfirmations.length > 0 && timers.getNow() < untilMs) {
			await waitFor(timers, leavePollMs); // eslint-disable-line no-await-in-loop -- polls
		}

		const missing = engine.getState().claims.awaitedLeaveConfirmations;
		if (missing.length > 0) {
			log.warn('leaving although members have not confirmed the claims of this host, so that its leave counts as a loss to them', {missing, longestLeaveHandoverMs});
		}
	};

	const stop = async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		log.info('stopping: new work is refused, open requests are completed', {openJobs: registry.getOpenJobCount()});
		engine.dispatch({type: 'jobs/stopping', nowMs: timers.getNow()});
		controlHost.replica.transferLeadership();
		await server.close();
		engine.dispatch({type: 'claims/leaving', nowMs: timers.getNow()});
		await waitForHandover();
		engine.dispatch({type: 'escrow/leave', nowMs: timers.getNow()});
		engine.dispatch({type: 'membership/leave', nowMs: timers.getNow()});
		await waitFor(timers, leaveNoticeMs);
		for (const cancel of cancelTimers) {
			cancel();
		}

		controlHost.replica.stop();
		await client.close();
		await transport.close();
		await dataFolder?.close({holdsAllClaims: hasAllRecords(engine.getState().claims)});
	};

	return createSuccess({
		httpHost: server.host, httpPort: server.port, runtime, stop,
	});
}
