/**
 * Matches requests and answers by id. An answer to a request that has already ended, for example by
 * a timeout, is counted and dropped, so that it never reaches another caller.
 */
import {
	createFailure, createSuccess, type CancelTimer, type NodeId, type Result, type TimerService,
} from '@samphiremill/common';
import {
	createJSONRPCErrorResponse, createJSONRPCRequest, createJSONRPCSuccessResponse,
	JSONRPCErrorCode, type JSONRPCID, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import type {PeerCounterStore} from './counters.js';
import type {OutgoingPeerRequest, PeerRequest, PeerRequestError} from './types.js';

type RequestResult = Result<unknown, PeerRequestError>;

type PendingRequest = {
	readonly to: NodeId;
	readonly resolve: (answer: RequestResult) => void;
	readonly cancelTimer: CancelTimer;
};

/** The pending requests of one transport. */
export type PeerRpc = {
	readonly request: (req: OutgoingPeerRequest) => Promise<RequestResult>;
	/** Settles the request that this answer from a peer belongs to. */
	readonly receiveResponse: (from: NodeId, res: JSONRPCResponse) => void;
	/** Settles a request that was queued and then dropped with `peer/notSent`. */
	readonly failUnsent: (id: JSONRPCID) => void;
	/** Settles the pending requests to this peer with `peer/noAnswer`. */
	readonly failPending: (peer: NodeId) => void;
};

/**
 * Creates the request side of a transport. `send` returns `false` if the request certainly does not
 * reach the peer.
 */
export function createPeerRpc({timers, counters, send}: {
	readonly timers: TimerService;
	readonly counters: PeerCounterStore;
	readonly send: (to: NodeId, req: JSONRPCRequest) => boolean;
}): PeerRpc {
	const pending = new Map<JSONRPCID, PendingRequest>();
	let nextId = 1;

	const settle = (id: JSONRPCID, answer: RequestResult) => {
		const entry = pending.get(id);
		pending.delete(id);
		entry?.cancelTimer();
		entry?.resolve(answer);
	};

	const noAnswer: RequestResult = createFailure({type: 'peer/noAnswer'});

	return {
		async request({to, method, params, timeoutMs}) {
			const id = nextId;
			nextId += 1;
			return new Promise(resolve => {
				const cancelTimer = timers.scheduleOnce(timeoutMs, () => {
					settle(id, noAnswer);
				});
				pending.set(id, {to, resolve, cancelTimer});
				if (!send(to, createJSONRPCRequest(id, method, params))) {
					settle(id, createFailure({type: 'peer/notSent'}));
				}
			});
		},
		receiveResponse(from, {id, error, result}) {
			if (pending.get(id)?.to !== from) {
				counters.add('lateAnswers');
				return;
			}

			settle(id, error === undefined
				? createSuccess<unknown>(result)
				: createFailure({type: 'peer/failed', message: error.message}));
		},
		failUnsent(id) {
			settle(id, createFailure({type: 'peer/notSent'}));
		},
		failPending(peer) {
			for (const [id, {to}] of pending) {
				if (to === peer) {
					settle(id, noAnswer);
				}
			}
		},
	};
}

/**
 * Passes a peer's request to the handler.
 *
 * @param onRequest - The handler; if it rejects, the answer is an error with its message.
 * @returns The answer to send back.
 */
export async function answerRequest(
	{from, rpc}: {readonly from: NodeId; readonly rpc: JSONRPCRequest},
	onRequest: ((req: PeerRequest) => Promise<unknown>) | undefined,
): Promise<JSONRPCResponse> {
	const id = rpc.id ?? '';
	if (onRequest === undefined) {
		return createJSONRPCErrorResponse(id, JSONRPCErrorCode.MethodNotFound, `No method ${rpc.method}`);
	}

	try {
		return createJSONRPCSuccessResponse(id, await onRequest({from, method: rpc.method, params: rpc.params}));
	} catch (err) {
		return createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, err instanceof Error ? err.message : String(err));
	}
}
