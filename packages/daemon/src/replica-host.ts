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
	hasLeaderLease,
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

/** Options of a replica host. Callbacks run synchronously and must not throw. */
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
	readonly onRoleChanged?: (change: {
		readonly role: ReplicaRole;
		readonly term: number;
		readonly leader: NodeId | undefined;
	}) => void;
};

/** A proposal that is committed and applied on this node. */
export type AppliedProposal<Outcome> = {
	readonly index: number;
	/** The result of `applyCommand` on this node; undefined if a snapshot covered the entry. */
	readonly outcome: Outcome | undefined;
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
	const lastSequences = new Map<WriteResult, number>();
	const queuedEvents: Array<ReplicaEvent<Command>> = [];
	let isProcessing = false;
	let isStopped = false;
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

	const apply = (entries: ReadonlyArray<LogEntry<Command>>) => {
		for (const {index, payload} of entries) {
			if (payload.type === 'command') {
				const outcome = options.applyCommand(payload.command, index);
				if (pending.has(payload.requestId)) {
					outcomes.set(payload.requestId, outcome);
				}
			}
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
				dispatch({
					type: 'replica/snapshotTaken', index: effect.index, data: options.createSnapshot(), nowMs: timers.getNow(),
				});
				break;
			}

			case 'replica/installSnapshot': {
				options.installSnapshot(effect.data);
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
				options.onRoleChanged?.(effect);
				break;
			}
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
			const step = reduceReplica(state, next, cfg);
			state = step.state;
			for (const effect of step.effects) {
				executeEffect(effect);
			}
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
		return {result, outcome};
	};

	const initialStep = createReplica<Command>({cfg, nowMs: timers.getNow()}, store?.recovered);
	let {state} = initialStep;
	for (const effect of initialStep.effects) {
		executeEffect(effect);
	}

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
			const {result, outcome} = await request(requestId => ({
				type: 'replica/propose', requestId, command, nowMs: timers.getNow(),
			}));
			return result.ok ? createSuccess({index: result.value.index, outcome}) : result;
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
		getFreshness: () => getConfigurationFreshness(state, {nowMs: timers.getNow(), leaseMs: cfg.limits.configurationLeaseMs}),
		hasLeaderLease: () => hasLeaderLease(state, {cfg, nowMs: timers.getNow()}),
		wasConfirmedSince: sinceMs => getConfirmedSendMs(state, {cfg, nowMs: timers.getNow()}) > sinceMs,
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
