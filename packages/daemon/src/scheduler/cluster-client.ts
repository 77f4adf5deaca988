/**
 * Finds the leading control host and sends it requests.
 */
import {
	toBrand, waitFor, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {OutgoingPeerRequest, PeerTransport} from '../peers/index.js';
import {getAnswerAfterDoubt} from './answer-after-doubt.js';
import {callAttemptTimeoutMs, callRetryDelayMs, unlinkedAttemptTimeoutMs} from './constants.js';
import type {
	ClusterAnswer, ClusterCall, ClusterCallResult, ClusterReply,
} from './types.js';

/** Method of the peer requests that carry a `ClusterCall` to a control host. */
export const clusterCallMethod = 'cluster/call';

/** While hosts are known that another host has named, every so-many-th attempt goes to a host of the settings. */
const settingsTurn = 4;

/** When a call stops being retried. */
export type ClusterCallOptions = {
	readonly timeoutMs: number;
	/** Checked before each attempt; `true` ends the call at once. */
	readonly shouldGiveUp?: () => boolean;
	/** Called after each attempt. */
	readonly onAttempt?: ((attempt: CallAttempt) => void) | undefined;
};

/** One attempt of a call, at one control host. */
export type CallAttempt = {
	readonly to: NodeId;
	readonly tookMs: number;
	/** The type of the answer, of the reply without one, or of the error. */
	readonly result: ClusterAnswer['type'] | ClusterReply['type'] | 'notSent' | 'noAnswer' | 'unreadable' | 'leaderChanged';
};

/** Sends requests to the leading control host. */
export type ClusterClient = {
	/** Retries the call at other hosts until one answers or the timeout passes. Each call must be idempotent. */
	readonly call: (call: ClusterCall, options: ClusterCallOptions) => Promise<ClusterCallResult>;
	/** Adds control hosts that were learnt of from another source. */
	readonly addHosts: (hosts: readonly NodeId[]) => void;
	/** Replaces the control hosts of the settings. */
	readonly setSeeds: (seeds: readonly NodeId[]) => void;
	/** Sets the leader that this host follows. An attempt at another host ends. */
	readonly setLeader: (leader: NodeId | undefined) => void;
	readonly getHosts: () => readonly NodeId[];
};

const isClusterReply = (value: unknown): value is ClusterReply =>
	typeof value === 'object' && value !== null && 'type' in value && (value.type === 'answer' || value.type === 'notLeader');

/**
 * Creates a client without a known leader.
 *
 * @param options - `seeds` are the control hosts named in the settings.
 */
export function createClusterClient({transport, timers, self, seeds, answerHere = () => undefined, isLinked = () => true}: {
	readonly transport: Pick<PeerTransport, 'request'>;
	readonly timers: TimerService;
	readonly self: NodeId;
	readonly seeds: readonly NodeId[];
	/** Answers a call while this host leads; returns `undefined` while it does not. */
	readonly answerHere?: (call: ClusterCall) => Promise<ClusterAnswer> | undefined;
	/** Whether the link with a host is up, for a process that keeps its links open. A process that opens them on demand leaves it out. */
	readonly isLinked?: (host: NodeId) => boolean;
}): ClusterClient {
	let settingsHosts = seeds;
	let namedHosts: ReadonlySet<NodeId> = new Set();
	let leader: NodeId | undefined;
	let nextHost = 0;
	const leaderListeners = new Set<(found: NodeId) => void>();

	const addHosts = (found: readonly NodeId[]) => {
		namedHosts = new Set([...namedHosts, ...found]);
	};

	const listHosts = () => [...new Set([...namedHosts, ...settingsHosts])];

	const chooseHost = (): NodeId | undefined => {
		if (leader !== undefined && leader !== self && isLinked(leader)) {
			return leader;
		}

		// The hosts of the settings may all have been replaced, so they are asked less often than those that a host has named. They
		// stay the way back when all of those are gone.
		const named = [...namedHosts].filter(host => host !== self);
		const others = settingsHosts.filter(host => host !== self && !namedHosts.has(host));
		nextHost += 1;
		return others.length > 0 && (named.length === 0 || nextHost % settingsTurn === 0)
			? others[Math.floor(nextHost / (named.length === 0 ? 1 : settingsTurn)) % others.length]
			: named[nextHost % Math.max(1, named.length)];
	};

	const applyReply = (reply: ClusterReply) => {
		if (reply.type === 'notLeader') {
			addHosts(reply.hosts);
		} else if (reply.hosts !== undefined) {
			// A leader knows which hosts are there. What others have named may be gone.
			namedHosts = new Set(reply.hosts);
		}

		leader = reply.leader;
	};

	/** Ends with `leaderChanged` once this host knows that another host than the asked one leads. The call may still be carried out. */
	const request = async (req: OutgoingPeerRequest) => new Promise<Awaited<ReturnType<PeerTransport['request']>> | 'leaderChanged'>(resolve => {
		const settle: typeof resolve = result => {
			leaderListeners.delete(handleLeader);
			resolve(result);
		};

		const handleLeader = (found: NodeId) => {
			if (found !== req.to) {
				settle('leaderChanged');
			}
		};

		leaderListeners.add(handleLeader);
		void transport.request(req).then(settle);
	});

	const attempt = async (call: ClusterCall, remainingMs: number, onAttempt: ClusterCallOptions['onAttempt']): Promise<ClusterCallResult> => {
		const answering = answerHere(call);
		const to = answering === undefined ? chooseHost() : self;
		if (to === undefined) {
			return {type: 'notRun'};
		}

		const startedAtMs = timers.getNow();
		const report = (result: CallAttempt['result']) => {
			onAttempt?.({to, tookMs: timers.getNow() - startedAtMs, result});
		};

		if (answering !== undefined) {
			const answer = await answering;
			report(answer.type);
			return {type: 'answered', answer};
		}

		const attemptTimeoutMs = isLinked(to) ? callAttemptTimeoutMs : unlinkedAttemptTimeoutMs;
		const result = await request({
			to, method: clusterCallMethod, params: call, timeoutMs: Math.max(1, Math.min(attemptTimeoutMs, remainingMs)),
		});
		if (result === 'leaderChanged') {
			report('leaderChanged');
			return {type: 'uncertain'};
		}

		if (!result.ok) {
			const wasSent = result.err.type !== 'peer/notSent';
			report(wasSent ? 'noAnswer' : 'notSent');
			leader = leader === to ? undefined : leader;
			return {type: wasSent ? 'uncertain' : 'notRun'};
		}

		if (!isClusterReply(result.value)) {
			report('unreadable');
			return {type: 'uncertain'};
		}

		applyReply(result.value);
		if (result.value.type === 'notLeader') {
			report('notLeader');
			return {type: 'notRun'};
		}

		report(result.value.answer.type);
		return {type: 'answered', answer: result.value.answer};
	};

	const getResultAfterDoubt = (request: ClusterCall, result: ClusterCallResult): ClusterCallResult => {
		const answer = result.type === 'answered' ? getAnswerAfterDoubt(request, result.answer) : undefined;
		return answer === undefined || answer.type === 'uncertain' ? {type: 'uncertain'} : {type: 'answered', answer};
	};

	const isFinal = (result: ClusterCallResult) =>
		result.type === 'answered' && result.answer.type !== 'unavailable' && result.answer.type !== 'uncertain';

	return {
		addHosts,
		setLeader(found) {
			leader = found;
			if (found !== undefined) {
				for (const handleLeader of leaderListeners) {
					handleLeader(found);
				}
			}
		},
		setSeeds(next) {
			settingsHosts = next;
		},
		getHosts: listHosts,
		async call(call, {timeoutMs, shouldGiveUp = () => false, onAttempt}) {
			const startedAtMs = timers.getNow();
			let isUncertain = false;
			for (;;) {
				const remainingMs = startedAtMs + timeoutMs - timers.getNow();
				if (remainingMs <= 0 || shouldGiveUp()) {
					return {type: isUncertain ? 'uncertain' : 'notRun'};
				}

				const hadLeader = leader !== undefined;
				const result = await attempt(call, remainingMs, onAttempt); // eslint-disable-line no-await-in-loop -- hosts are tried one at a time
				if (isFinal(result)) {
					return isUncertain ? getResultAfterDoubt(call, result) : result;
				}

				isUncertain ||= result.type === 'uncertain' || (result.type === 'answered' && result.answer.type === 'uncertain');
				// If the host has just named the leader, the next attempt goes there without a delay.
				if (hadLeader || leader === undefined) {
					await waitFor(timers, callRetryDelayMs); // eslint-disable-line no-await-in-loop -- hosts are tried one at a time
				}
			}
		},
	};
}

/**
 * Returns the node at an address; nodes are identified by their IP address.
 *
 * @param address - An IP address and a port, as in `10.0.0.1:80`.
 */
export function getNodeOfAddress(address: string): NodeId {
	return toBrand<NodeId>(address.slice(0, address.lastIndexOf(':')));
}
