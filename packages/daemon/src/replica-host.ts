/**
 * Executes the effects of one replica: messages, disk writes, timers, and the promises of its callers.
 */
import {
	createFailure, createSuccess, toBrand, type NodeId, type Result, type TimerService,
} from '@samphiremill/common';
import {
	createReplica,
	getConfigurationFreshness,
	getConfirmedSendMs,
	isLeaderLeaseHeld,
	reduceReplica,
	type ConfigurationFreshness,
	type LogEntry,
	type PersistEffect,
	type ReplicaConfig,
	type ReplicaEffect,
	type ReplicaEvent,
	type ReplicaFailure,
	type ReplicaMessage,
	type ReplicaRole,
	type ReplicaState,
	type RequestId,
	type VoterChange,
} from '@samphiremill/core';
import type {ReplicaStore} from './store/index.js';

const tickPeriodMs = 50;

/** Delay before a snapshot that could not be created is tried again. */
const snapshotRetryDelayMs = 10_000;

/** An error that a callback, or the replica itself, threw. */
export type ReplicaHostFailure = {
	readonly activity: ReplicaEffect<unknown>['type'] | ReplicaEvent<unknown>['type'];
	/** The log entry that was applied, or the last one in the snapshot. */
	readonly index: number | undefined;
	readonly err: unknown;
};

/** A snapshot of the applied state that this node made. The process does nothing else meanwhile. */
export type SnapshotTaken = {
	/** The last entry in the snapshot. */
	readonly index: number;
	readonly length: number;
	/** How long it took to serialise the state, in milliseconds. */
	readonly serializeMs: number;
	/** How long it took to hand the snapshot over to the log and the store, in milliseconds. */
	readonly handOverMs: number;
};

/** The role of this node and the leader that it knows. */
export type RoleChange = {
	readonly role: ReplicaRole;
	readonly term: number;
	readonly leader: NodeId | undefined;
};

/** Options of a replica host. Callbacks run synchronously; what they throw is reported to `onFailure`. */
export type ReplicaHostOptions<Command, Outcome> = {
	/** The replica's configuration; `storeId` comes from the store. */
	readonly cfg: Omit<ReplicaConfig, 'storeId'>;
	/** Undefined on a node without a disk, which then only observes. */
	readonly store?: ReplicaStore<Command>;
	readonly timers: TimerService;
	/** Unique per process, so that request ids are never reused. */
	readonly processId: string;
	/** Sends a message, best effort. */
	readonly send: (to: NodeId, message: ReplicaMessage<Command>) => void;
	/** Applies one committed command. All nodes apply the commands in the same order. */
	readonly applyCommand: (command: Command, index: number) => Outcome;
	/** Serialises the applied state. */
	readonly createSnapshot: () => string;
	/** Replaces the applied state by a snapshot that `createSnapshot` made on any node. */
	readonly installSnapshot: (data: string) => void;
	readonly onRoleChanged?: (change: RoleChange) => void;
	readonly onSnapshotTaken?: (taken: SnapshotTaken) => void;
	/** Must not throw. The replica goes on. */
	readonly onFailure?: (failure: ReplicaHostFailure) => void;
};

/** A proposal that is committed and applied on this node. */
export type AppliedProposal<Outcome> = {
	readonly index: number;
	/** The result of `applyCommand` on this node; undefined if it threw or if a snapshot covered the entry. */
	readonly outcome: Outcome | undefined;
	/** Whether `applyCommand` threw. The entry counts as applied, and nobody applies it again. */
	readonly hasFailed: boolean;
};

/** A running replica. */
export type ReplicaHost<Command, Outcome> = {
	/** Handles a message whose type starts with `replica/`. */
	readonly receive: (from: NodeId, message: ReplicaMessage<Command>) => void;
	/** Resolves once the command is committed and applied on this node; works on every node. */
	readonly propose: (command: Command) => Promise<Result<AppliedProposal<Outcome>, ReplicaFailure>>;
	/** Resolves once everything committed before the call is applied on this node. */
	readonly read: () => Promise<Result<{readonly index: number}, ReplicaFailure>>;
	/** Resolves once the voter set is changed. */
	readonly changeVoters: (change: VoterChange) => Promise<Result<{readonly index: number}, ReplicaFailure>>;
	/** Transfers leadership before a planned stop; does nothing if this node does not lead. */
	readonly transferLeadership: (to?: NodeId) => void;
	/** Ends this node's lead because it cannot do its duties. Does nothing if this node does not lead. */
	readonly giveWay: () => void;
	readonly getFreshness: () => ConfigurationFreshness;
	/** Whether this node leads and no other node can lead; only then may it plan. */
	readonly hasLeaderLease: () => boolean;
	/** Whether a majority has confirmed this leader by messages sent after that monotonic time. */
	readonly wasConfirmedSince: (sinceMs: number) => boolean;
	/** Replaces the list of participating nodes. The voters come from the log. */
	readonly setNodes: (nodes: ReplicaConfig['nodes']) => void;
	readonly getState: () => ReplicaState<Command>;
	/** Stops the ticks. Pending promises fail with `unknown`. The caller must close the store. */
	readonly stop: () => void;
};

type WriteResult = ReturnType<ReplicaStore<unknown>['write']>;
type SettledRequest = {readonly index: number};
type SettleRequest = (result: Result<SettledRequest, ReplicaFailure>) => void;

/** Starts a replica. A recovered snapshot is installed before this returns. */
export function createReplicaHost<Command, Outcome>(options: ReplicaHostOptions<Command, Outcome>): ReplicaHost<Command, Outcome> {
	const {store, timers, send} = options;
	let cfg: ReplicaConfig = {...options.cfg, ...(store !== undefined && {storeId: store.storeId})};
	const pending = new Map<RequestId, SettleRequest>();
	const outcomes = new Map<RequestId, Outcome>();
	const failedRequests = new Set<RequestId>();
	const lastSequences = new Map<WriteResult, number>();
	const queuedEvents: Array<ReplicaEvent<Command>> = [];
	let isProcessing = false;
	let isStopped = false;
	let hasLostState = false;
	let nextRequest = 1;

	const acknowledge = async (written: WriteResult) => {
		const result = await written;
		const sequence = lastSequences.get(written);
		lastSequences.delete(written);
		// A write fails only when the store is closed.
		if (result.ok && sequence !== undefined && !isStopped) {
			dispatch({type: 'replica/persisted', sequence, nowMs: timers.getNow()});
		}
	};

	// Writes that are synced together are acknowledged together, so that a full disk leaves no callback for each.
	const persist = ({type: _, sequence, ...write}: PersistEffect<Command>) => {
		const written = store?.write(write);
		if (written === undefined) {
			return;
		}

		const isAwaited = lastSequences.has(written);
		lastSequences.set(written, sequence);
		if (!isAwaited) {
			void acknowledge(written);
		}
	};

	// Returns whether the action threw nothing.
	const contain = (activity: ReplicaHostFailure['activity'], index: number | undefined, action: () => void): boolean => {
		try {
			action();
			return true;
		} catch (err) {
			options.onFailure?.({activity, index, err});
			return false;
		}
	};

	// Each entry is contained by itself: all nodes apply the same entries, so an error that ended the batch would leave
	// out entries that other nodes, with other batches, apply.
	const apply = (entries: ReadonlyArray<LogEntry<Command>>) => {
		for (const {index, payload} of entries) {
			if (payload.type !== 'command' || hasLostState) {
				continue;
			}

			const isApplied = contain('replica/apply', index, () => {
				const outcome = options.applyCommand(payload.command, index);
				if (pending.has(payload.requestId)) {
					outcomes.set(payload.requestId, outcome);
				}
			});
			if (!isApplied && pending.has(payload.requestId)) {
				failedRequests.add(payload.requestId);
			}
		}
	};

	const takeSnapshot = (index: number) => {
		if (hasLostState || isStopped) {
			return;
		}

		const isTaken = contain('replica/takeSnapshot', index, () => {
			const beganAtMs = timers.getNow();
			const data = options.createSnapshot();
			const serializedAtMs = timers.getNow();
			dispatch({
				type: 'replica/snapshotTaken', index, data, nowMs: serializedAtMs,
			});
			options.onSnapshotTaken?.({
				index, length: data.length, serializeMs: serializedAtMs - beganAtMs, handOverMs: timers.getNow() - serializedAtMs,
			});
		});
		if (!isTaken) {
			timers.scheduleOnce(snapshotRetryDelayMs, () => {
				takeSnapshot(state.commitIndex);
			});
		}
	};

	// Without the snapshot the applied state is not the one that the following entries belong to. The node must
	// neither lead nor serve it; a restart installs the snapshot anew. Its log is whole, so it goes on voting.
	const installSnapshot = (index: number, data: string) => {
		const isInstalled = contain('replica/installSnapshot', index, () => {
			options.installSnapshot(data);
		});
		hasLostState = !isInstalled;
	};

	const reportRole = (change: RoleChange) => {
		options.onRoleChanged?.(change);
		if (change.role === 'leader' && hasLostState) {
			dispatch({type: 'replica/giveWay', nowMs: timers.getNow()});
		}
	};

	const settle = (requestId: RequestId, result: Result<SettledRequest, ReplicaFailure>) => {
		const resolve = pending.get(requestId);
		pending.delete(requestId);
		resolve?.(result);
	};

	const executeEffect = (effect: ReplicaEffect<Command>) => {
		switch (effect.type) {
			case 'peer/send': {
				send(effect.to, effect.message);
				break;
			}

			case 'replica/persist': {
				persist(effect);
				break;
			}

			case 'replica/apply': {
				apply(effect.entries);
				break;
			}

			case 'replica/takeSnapshot': {
				takeSnapshot(effect.index);
				break;
			}

			case 'replica/installSnapshot': {
				installSnapshot(effect.index, effect.data);
				break;
			}

			case 'replica/proposalDone':
			case 'replica/readReady': {
				settle(effect.requestId, createSuccess({index: effect.index}));
				break;
			}

			case 'replica/proposalFailed': {
				settle(effect.requestId, createFailure(effect.failure));
				break;
			}

			case 'replica/roleChanged': {
				reportRole(effect);
				break;
			}
		}
	};

	const processEvent = (event: ReplicaEvent<Command>) => {
		let effects: ReadonlyArray<ReplicaEffect<Command>> = [];
		contain(event.type, undefined, () => {
			const step = reduceReplica(state, event, cfg);
			state = step.state;
			({effects} = step);
		});
		for (const effect of effects) {
			contain(effect.type, undefined, () => {
				executeEffect(effect);
			});
		}
	};

	// Effects may dispatch further events; those are queued, so that effects are executed in order.
	const dispatch = (event: ReplicaEvent<Command>) => {
		queuedEvents.push(event);
		if (isProcessing) {
			return;
		}

		isProcessing = true;
		for (let next = queuedEvents.shift(); next !== undefined; next = queuedEvents.shift()) {
			processEvent(next);
		}

		isProcessing = false;
	};

	const request = async (createEvent: (requestId: RequestId) => ReplicaEvent<Command>) => {
		const requestId = toBrand<RequestId>(`${cfg.self}/${options.processId}/${nextRequest}`);
		nextRequest += 1;
		const result = await new Promise<Result<SettledRequest, ReplicaFailure>>(resolve => {
			if (isStopped) {
				resolve(createFailure({type: 'notProposed', reason: 'noLeader'}));
				return;
			}

			pending.set(requestId, resolve);
			dispatch(createEvent(requestId));
		});
		const outcome = outcomes.get(requestId);
		outcomes.delete(requestId);
		return {result, outcome, hasFailed: failedRequests.delete(requestId)};
	};

	const initialStep = createReplica<Command>({cfg, nowMs: timers.getNow()}, store?.takeRecovered());
	let {state} = initialStep;
	for (const effect of initialStep.effects) {
		if (effect.type === 'replica/installSnapshot') {
			// A node that cannot read its own snapshot must not start.
			options.installSnapshot(effect.data);
		} else {
			executeEffect(effect);
		}
	}

	let confirmed: {readonly of: ReplicaState<Command>; readonly sentAtMs: number} | undefined;

	// Asked for each order to a minion, far more often than the state changes. This node itself counts as heard from now.
	const getConfirmedMs = () => {
		if (confirmed?.of !== state) {
			confirmed = {of: state, sentAtMs: getConfirmedSendMs(state, {cfg, nowMs: Number.POSITIVE_INFINITY})};
		}

		return Math.min(confirmed.sentAtMs, timers.getNow());
	};

	const cancelTick = timers.scheduleEvery(tickPeriodMs, () => {
		dispatch({type: 'replica/tick', nowMs: timers.getNow()});
	});

	return {
		receive(from, message) {
			if (!isStopped) {
				dispatch({
					type: 'peer/received', from, message, nowMs: timers.getNow(),
				});
			}
		},
		async propose(command) {
			const {result, outcome, hasFailed} = await request(requestId => ({
				type: 'replica/propose', requestId, command, nowMs: timers.getNow(),
			}));
			return result.ok ? createSuccess({index: result.value.index, outcome, hasFailed}) : result;
		},
		async read() {
			const {result} = await request(requestId => ({type: 'replica/read', requestId, nowMs: timers.getNow()}));
			return result;
		},
		async changeVoters(change) {
			const {result} = await request(requestId => ({
				type: 'replica/changeVoters', requestId, change, nowMs: timers.getNow(),
			}));
			return result;
		},
		transferLeadership(to) {
			dispatch({type: 'replica/transferLeadership', ...(to !== undefined && {to}), nowMs: timers.getNow()});
		},
		giveWay() {
			dispatch({type: 'replica/giveWay', nowMs: timers.getNow()});
		},
		getFreshness: () => hasLostState ? 'stale' : getConfigurationFreshness(state, {nowMs: timers.getNow(), leaseMs: cfg.limits.configurationLeaseMs}),
		hasLeaderLease: () => !hasLostState && isLeaderLeaseHeld(state, {cfg, nowMs: timers.getNow(), confirmedAtMs: getConfirmedMs()}),
		wasConfirmedSince: sinceMs => getConfirmedMs() > sinceMs,
		setNodes(nodes) {
			cfg = {...cfg, nodes};
		},
		getState: () => state,
		stop() {
			isStopped = true;
			cancelTick();
			for (const requestId of pending.keys()) {
				settle(requestId, createFailure({type: 'unknown'}));
			}
		},
	};
}
