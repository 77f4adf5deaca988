import type {NodeId, TimerService} from '@samphiremill/common';
import {
	reduceNode, type NodeConfig, type NodeEffect, type NodeEvent, type NodeState,
} from '@samphiremill/core';

/** Holds the state of one entry host and carries its effects out in order. */
export type NodeEngine = {
	readonly getState: () => NodeState;
	readonly dispatch: (event: NodeEvent) => void;
};

type PeerSendEffect = Extract<NodeEffect, {readonly type: 'peer/send'}>;

/** What the engine hands to the shell; messages of the node to itself stay inside. */
export type ShellEffect = Exclude<NodeEffect, PeerSendEffect>;

/** A gap between ticks after which leases may have ended unnoticed, in milliseconds. */
const maximumTickGapMs = 200;

/**
 * Creates the loop around the reducer. A process that was frozen may see a request before the timer
 * that ends its leases, so the time is told first wherever ticks are missing. Events that effects bring about wait for their turn, so that
 * the order in which the reducer sees them is the order in which they came about.
 *
 * @param options - The first state, the configuration, and who carries effects out.
 * @returns The engine.
 */
export function createNodeEngine({self, initial, cfg, timers, getIsFresh, send, carryOut}: {
	readonly self: NodeId;
	readonly initial: NodeState;
	readonly cfg: NodeConfig;
	readonly timers: TimerService;
	/** Whether the configuration lease is fresh at this moment. */
	readonly getIsFresh: () => boolean;
	readonly send: (effect: PeerSendEffect) => void;
	readonly carryOut: (effect: ShellEffect) => void;
}): NodeEngine {
	const queuedEvents: NodeEvent[] = [];
	let state = initial;
	let isProcessing = false;
	let lastTickAtMs: number = timers.getNow();

	const handleEffect = (effect: NodeEffect) => {
		if (effect.type !== 'peer/send') {
			carryOut(effect);
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
				queuedEvents.push({type: 'node/freshnessChanged', isFresh: getIsFresh(), nowMs}, {type: 'node/tick', nowMs});
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
