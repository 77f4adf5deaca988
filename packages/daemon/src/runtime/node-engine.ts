import type {NodeId, TimerService} from '@samphiremill/common';
import {
	reduceNode, type NodeConfig, type NodeEffect, type NodeEvent, type NodeState,
} from '@samphiremill/core';

/** Holds the state of one entry host and executes its effects in order. */
export type NodeEngine = {
	readonly getState: () => NodeState;
	readonly dispatch: (event: NodeEvent) => void;
};

type PeerSendEffect = Extract<NodeEffect, {readonly type: 'peer/send'}>;

/** The effects that the shell executes: all except messages, which the engine sends or, if addressed to this node, queues. */
export type ShellEffect = Exclude<NodeEffect, PeerSendEffect>;

/** Longest gap between ticks in which no lease expires unnoticed, in milliseconds. */
const maximumTickGapMs = 200;

/**
 * Creates the event loop around the reducer. A process that was suspended may receive a request before
 * the timer that ends its leases fires. So if ticks are missing, a tick is dispatched before the event.
 * Events that effects cause are queued, so that the reducer gets all events in the order in which they
 * occurred.
 */
export function createNodeEngine({self, initial, cfg, timers, isConfigurationFresh, send, executeEffect}: {
	readonly self: NodeId;
	readonly initial: NodeState;
	readonly cfg: NodeConfig;
	readonly timers: TimerService;
	/** Whether the configuration lease is valid at this moment. */
	readonly isConfigurationFresh: () => boolean;
	readonly send: (effect: PeerSendEffect) => void;
	readonly executeEffect: (effect: ShellEffect) => void;
}): NodeEngine {
	const queuedEvents: NodeEvent[] = [];
	let state = initial;
	let isProcessing = false;
	let lastTickAtMs: number = timers.getNow();

	const handleEffect = (effect: NodeEffect) => {
		if (effect.type !== 'peer/send') {
			executeEffect(effect);
			return;
		}

		if (effect.to === self) {
			queuedEvents.push({
				type: 'peer/received', from: self, message: effect.message, nowMs: timers.getNow(),
			});
			return;
		}

		send(effect);
	};

	return {
		getState: () => state,
		dispatch(event) {
			const nowMs = timers.getNow();
			if (event.type === 'node/tick') {
				lastTickAtMs = nowMs;
			} else if (nowMs - lastTickAtMs > maximumTickGapMs) {
				lastTickAtMs = nowMs;
				queuedEvents.push({type: 'node/freshnessChanged', isFresh: isConfigurationFresh(), nowMs}, {type: 'node/tick', nowMs});
			}

			queuedEvents.push(event);
			if (isProcessing) {
				return;
			}

			isProcessing = true;
			try {
				for (let next = queuedEvents.shift(); next !== undefined; next = queuedEvents.shift()) {
					const step = reduceNode(state, next, cfg);
					state = step.state;
					for (const effect of step.effects) {
						handleEffect(effect);
					}
				}
			} finally {
				isProcessing = false;
			}
		},
	};
}
