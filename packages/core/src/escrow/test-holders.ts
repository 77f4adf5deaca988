/**
 * Simulates entry hosts that run escrow over the simulated network, with jobs that use the rights. Jobs of a
 * crashed process run to their end, as on real minions.
 */
import {
	createSeededRandom, toBrand, type DataCentreId, type MonotonicMs, type NodeId, type PoolId, type RandomSource, type TeamId,
} from '@samphiremill/common';
import type {DataCentreView} from '../control/types.js';
import {createTestAnnouncement} from '../membership/test-members.js';
import {createTestNetwork, type TestNetwork} from '../membership/test-network.js';
import {defaultEscrowTimings} from './constants.js';
import {
	createEscrowState, listHeldRights, reduceEscrow, type EscrowState,
} from './reduce-escrow.js';
import {getResourceKey} from './resources.js';
import type {
	EscrowConfig, EscrowEvent, EscrowMessage, EscrowResource, HeldRight,
} from './types.js';

const stepMs = 10;
const dataCentre = toBrand<DataCentreId>('dc0');
const pool = toBrand<PoolId>('pool');

export const testTeam = toBrand<TeamId>('team');
/** The number of slots of each minion. */
export const testSlots = 4;
/** The limit of the team. */
export const testLimit = 7;

/** Short timings, so that loans expire within a test. */
export const testTimings = {
	...defaultEscrowTimings, taskLeaseMs: 4000, configurationLeaseMs: 2000, isolationMs: 20_000,
};

type Job = {
	readonly process: string;
	readonly key: string;
	readonly resource: EscrowResource;
	readonly endsAtMs: number;
};

type UntimedEvent = EscrowEvent extends infer Event ? Event extends EscrowEvent ? Omit<Event, 'nowMs'> : never : never;

type TestHolder = {
	readonly cfg: EscrowConfig;
	readonly state: EscrowState;
	readonly isRunning: boolean;
	readonly isLogDisconnected: boolean;
	readonly clockRate: number;
	readonly tickedAtMs: number;
	readonly lastLogDeliveryAtMs: number;
	readonly waiting: number;
};

/** A simulated data centre. */
export type TestHolders = {
	readonly network: TestNetwork<EscrowMessage>;
	readonly nodes: readonly NodeId[];
	readonly dispatch: (node: NodeId, event: UntimedEvent) => void;
	readonly advance: (durationMs: number) => void;
	readonly crash: (node: NodeId) => void;
	readonly restart: (node: NodeId, earlierTasksMs?: number) => void;
	readonly setWaiting: (node: NodeId, waiting: number) => void;
	/** Disconnects a node from the log, or reconnects it. */
	readonly setLogDisconnected: (node: NodeId, isLogDisconnected: boolean) => void;
	readonly commitView: (members: readonly NodeId[]) => void;
	/** Returns the number of units of the resource that the node may use. */
	readonly getHeld: (node: NodeId, resource: EscrowResource) => number;
	readonly listJobs: () => readonly Job[];
	/** Returns, by resource key, the sum over all processes of the larger of the units that each may use and uses. */
	readonly listSums: () => ReadonlyMap<string, number>;
	readonly resources: readonly EscrowResource[];
	readonly stopJobs: () => void;
};

/**
 * Starts entry hosts with one committed view that contains all of them.
 *
 * @param options.clockRates - The rates of the nodes' clocks, assigned in turn.
 */
export function createTestHolders({nodeCount, minionCount, seed, clockRates = [1]}: {
	readonly nodeCount: number;
	readonly minionCount: number;
	readonly seed: number;
	readonly clockRates?: readonly number[];
}): TestHolders {
	const random: RandomSource = createSeededRandom(seed);
	const network = createTestNetwork<EscrowMessage>(random);
	const nodes = Array.from({length: nodeCount}, (_, index) => toBrand<NodeId>(`node-${index}`));
	const announcements = Array.from({length: minionCount}, (_, index) => ({...createTestAnnouncement(`minion-${index}`), slots: testSlots}));
	const teamLimit: EscrowResource = {type: 'teamLimit', team: testTeam};
	const resources: readonly EscrowResource[] = [
		...announcements.map(({minion, incarnation}) => ({type: 'slot' as const, minion, incarnation})), teamLimit,
	];
	const holders = new Map<NodeId, TestHolder>();
	let jobs: readonly Job[] = [];
	let view: DataCentreView = {dataCentre, epoch: 1, members: nodes};
	let isStartingJobs = true;

	const get = (node: NodeId) => {
		const holder = holders.get(node);
		if (holder === undefined) {
			throw new TypeError(`no node ${node}`);
		}

		return holder;
	};

	const update = (node: NodeId, change: Partial<TestHolder>) => {
		holders.set(node, {...get(node), ...change});
	};

	const getNowOf = (node: NodeId) => toBrand<MonotonicMs>(network.getNow() * get(node).clockRate);
	const getProcess = (node: NodeId) => `${node}/${get(node).cfg.incarnation}`;

	const dispatch = (node: NodeId, event: UntimedEvent) => {
		const {isRunning, state, cfg} = get(node);
		if (!isRunning) {
			return;
		}

		const step = reduceEscrow(state, {...event, nowMs: getNowOf(node)}, cfg);
		update(node, {state: step.state});
		for (const effect of step.effects) {
			if (effect.type === 'peer/send') {
				network.send(node, effect.to, effect.message);
			}
		}
	};

	const deliverLogState = (node: NodeId) => {
		update(node, {lastLogDeliveryAtMs: network.getNow()});
		dispatch(node, {type: 'escrow/viewChanged', view});
		dispatch(node, {type: 'escrow/configurationLease', isFresh: true});
	};

	const start = (node: NodeId, {incarnation, earlierTasksMs, clockRate}: {readonly incarnation: number; readonly earlierTasksMs: number; readonly clockRate: number}) => {
		const cfg = {
			self: node, dataCentre, incarnation, localNodes: nodes, earlierTasksMs, timings: testTimings,
		};
		holders.set(node, {
			cfg,
			state: createEscrowState(toBrand<MonotonicMs>(network.getNow() * clockRate)),
			isRunning: true,
			isLogDisconnected: holders.get(node)?.isLogDisconnected ?? false,
			clockRate,
			tickedAtMs: 0,
			lastLogDeliveryAtMs: Number.NEGATIVE_INFINITY,
			waiting: 0,
		});
		const minions = announcements.map(announcement => ({...announcement, condition: 'ready' as const, renewedAtMs: getNowOf(node)}));
		dispatch(node, {type: 'minions/changed', minions});
		dispatch(node, {
			type: 'escrow/teamBoundsChanged', bounds: [{
				team: testTeam, amount: testLimit, version: 1, isRecalled: false,
			}],
		});
		// A restarted node may read an old view from its disk, but has no fresh lease.
		dispatch(node, {type: 'escrow/viewChanged', view});
	};

	const countRunning = (node: NodeId, key: string) => jobs.filter(job => job.process === getProcess(node) && job.key === key).length;

	const reportUsage = (node: NodeId, resource: EscrowResource) => {
		dispatch(node, {type: 'escrow/usage', usage: [{resource, running: countRunning(node, getResourceKey(resource))}]});
	};

	const startJobs = (node: NodeId, rights: readonly HeldRight[]) => {
		for (const {resource, amount} of rights) {
			const key = getResourceKey(resource);
			if (get(node).waiting > 0 && countRunning(node, key) < amount && random() < 0.3) {
				const endsAtMs = network.getNow() + (random() * testTimings.taskLeaseMs);
				jobs = [...jobs, {
					process: getProcess(node), key, resource, endsAtMs,
				}];
				reportUsage(node, resource);
			}
		}
	};

	const endJobs = () => {
		const ended = jobs.filter(({endsAtMs}) => endsAtMs <= network.getNow());
		jobs = jobs.filter(({endsAtMs}) => endsAtMs > network.getNow());
		for (const job of ended) {
			const node = nodes.find(other => getProcess(other) === job.process);
			if (node !== undefined) {
				reportUsage(node, job.resource);
			}
		}
	};

	const runNode = (node: NodeId) => {
		const holder = get(node);
		if (!holder.isRunning) {
			return;
		}

		// As in a node's event queue, jobs get changed rights only after the tick that changed them.
		const rights = listHeldRights(holder.state);
		const sinceLogMs = network.getNow() - holder.lastLogDeliveryAtMs;
		if (!holder.isLogDisconnected && sinceLogMs >= 500) {
			deliverLogState(node);
		} else if (holder.isLogDisconnected && sinceLogMs * holder.clockRate >= testTimings.configurationLeaseMs && holder.state.home.isConfigurationFresh) {
			dispatch(node, {type: 'escrow/configurationLease', isFresh: false});
		}

		if (getNowOf(node) - holder.tickedAtMs >= 100) {
			update(node, {tickedAtMs: getNowOf(node)});
			dispatch(node, {type: 'escrow/tick'});
		}

		if (isStartingJobs) {
			startJobs(node, rights);
		}
	};

	for (const [index, node] of nodes.entries()) {
		start(node, {incarnation: 1, earlierTasksMs: 0, clockRate: clockRates[index % clockRates.length] ?? 1});
	}

	return {
		network,
		nodes,
		resources,
		dispatch,
		advance(durationMs) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				network.advance(stepMs, ({from, to, message}) => {
					dispatch(to, {type: 'peer/received', from, message});
				});
				endJobs();
				for (const node of nodes) {
					runNode(node);
				}
			}
		},
		crash(node) {
			update(node, {isRunning: false});
		},
		restart(node, earlierTasksMs = testTimings.taskLeaseMs) {
			const {cfg, clockRate} = get(node);
			start(node, {incarnation: cfg.incarnation + 1, earlierTasksMs, clockRate});
		},
		setWaiting(node, waiting) {
			update(node, {waiting});
			dispatch(node, {type: 'escrow/demand', demands: [{type: 'pool', pool, waiting}, {type: 'team', team: testTeam, waiting}]});
		},
		setLogDisconnected(node, isLogDisconnected) {
			update(node, {isLogDisconnected});
		},
		commitView(members) {
			view = {...view, epoch: view.epoch + 1, members};
		},
		getHeld: (node, resource) => listHeldRights(get(node).state).find(right => getResourceKey(right.resource) === getResourceKey(resource))?.amount ?? 0,
		listJobs: () => jobs,
		listSums() {
			const sums = new Map<string, number>();
			for (const resource of resources) {
				const key = getResourceKey(resource);
				const live = nodes.filter(node => get(node).isRunning);
				const processes = new Set(live.map(node => getProcess(node)));
				let sum = jobs.filter(job => job.key === key && !processes.has(job.process)).length;
				for (const node of live) {
					const right = listHeldRights(get(node).state).find(held => getResourceKey(held.resource) === key);
					sum += Math.max(right?.amount ?? 0, countRunning(node, key));
				}

				sums.set(key, sum);
			}

			return sums;
		},
		stopJobs() {
			isStartingJobs = false;
		},
	};
}
