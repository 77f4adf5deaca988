/**
 * Finds the leading control host and hands it requests.
 */
import {
	toBrand, waitFor, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {PeerTransport} from '../peers/index.js';
import {callAttemptTimeoutMs, callRetryDelayMs} from './constants.js';
import type {ClusterCall, ClusterCallResult, ClusterReply} from './types.js';

/** The method under which control hosts take requests of peers. */
export const clusterCallMethod = 'cluster/call';

/** How long a call is tried. */
export type ClusterCallOptions = {
	readonly timeoutMs: number;
	/** Asked before each attempt; ends the call at once. */
	readonly shouldGiveUp?: () => boolean;
};

/** Hands requests to the leading control host. */
export type ClusterClient = {
	/** Repeats the call at other hosts until one answers or the time is over. Each call must be idempotent. */
	readonly call: (call: ClusterCall, options: ClusterCallOptions) => Promise<ClusterCallResult>;
	/** Adds hosts that are known from elsewhere. */
	readonly addHosts: (hosts: readonly NodeId[]) => void;
	readonly setLeader: (leader: NodeId | undefined) => void;
	readonly getHosts: () => readonly NodeId[];
};

const isClusterReply = (value: unknown): value is ClusterReply =>
	typeof value === 'object' && value !== null && 'type' in value && (value.type === 'answer' || value.type === 'notLeader');

/**
 * @param options - The links, the time, this node and the control hosts that the settings name.
 * @returns The client.
 */
export function createClusterClient({transport, timers, self, seeds}: {
	readonly transport: Pick<PeerTransport, 'request'>;
	readonly timers: TimerService;
	readonly self: NodeId;
	readonly seeds: readonly NodeId[];
}): ClusterClient {
	const hosts = new Set<NodeId>(seeds);
	let leader: NodeId | undefined;
	let nextHost = 0;

	const addHosts = (found: readonly NodeId[]) => {
		for (const host of found) {
			hosts.add(host);
		}
	};

	const chooseHost = (): NodeId | undefined => {
		if (leader !== undefined && leader !== self) {
			return leader;
		}

		const others = [...hosts].filter(host => host !== self);
		nextHost += 1;
		return others[nextHost % Math.max(1, others.length)];
	};

	const applyReply = (reply: ClusterReply) => {
		if (reply.type === 'notLeader') {
			addHosts(reply.hosts);
		}

		leader = reply.leader;
	};

	const attempt = async (call: ClusterCall, remainingMs: number): Promise<ClusterCallResult> => {
		const to = chooseHost();
		if (to === undefined) {
			return {type: 'notRun'};
		}

		const result = await transport.request({
			to, method: clusterCallMethod, params: call, timeoutMs: Math.max(1, Math.min(callAttemptTimeoutMs, remainingMs)),
		});
		if (!result.ok) {
			leader = leader === to ? undefined : leader;
			return {type: result.err.type === 'peer/notSent' ? 'notRun' : 'uncertain'};
		}

		if (!isClusterReply(result.value)) {
			return {type: 'uncertain'};
		}

		applyReply(result.value);
		return result.value.type === 'answer' ? {type: 'answered', answer: result.value.answer} : {type: 'notRun'};
	};

	const isFinal = (result: ClusterCallResult) =>
		result.type === 'answered' && result.answer.type !== 'unavailable' && result.answer.type !== 'uncertain';

	return {
		addHosts,
		setLeader(found) {
			leader = found;
		},
		getHosts: () => [...hosts],
		async call(call, {timeoutMs, shouldGiveUp: isGivenUp = () => false}) {
			const startedAtMs = timers.getNow();
			let isUncertain = false;
			for (;;) {
				const remainingMs = startedAtMs + timeoutMs - timers.getNow();
				if (remainingMs <= 0 || isGivenUp()) {
					return {type: isUncertain ? 'uncertain' : 'notRun'};
				}

				const hadLeader = leader !== undefined;
				const result = await attempt(call, remainingMs); // eslint-disable-line no-await-in-loop -- one host after the other
				// An earlier attempt may have been carried out, whatever a later one is told.
				if (isUncertain && result.type === 'answered' && result.answer.type === 'refused') {
					return {type: 'uncertain'};
				}

				if (isFinal(result)) {
					return result;
				}

				isUncertain ||= result.type === 'uncertain' || (result.type === 'answered' && result.answer.type === 'uncertain');
				// A host that names the leader saves the search for it.
				if (hadLeader || leader === undefined) {
					await waitFor(timers, callRetryDelayMs); // eslint-disable-line no-await-in-loop -- one host after the other
				}
			}
		},
	};
}

/**
 * @param address - An IP number and a port.
 * @returns The node at that IP number.
 */
export function getNodeOfAddress(address: string): NodeId {
	return toBrand<NodeId>(address.slice(0, address.lastIndexOf(':')));
}
