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

/**
 * Creates the loop around the reducer. Events that effects bring about wait for their turn, so that
 * the order in which the reducer sees them is the order in which they came about.
 *
 * @param options - The first state, the configuration, and who carries effects out.
 * @returns The engine.
 */
export function createNodeEngine({self, initial, cfg, timers, send, carryOut}: {
	readonly self: NodeId;
	readonly initial: NodeState;
	readonly cfg: NodeConfig;
	readonly timers: TimerService;
	readonly send: (effect: PeerSendEffect) => void;
	readonly carryOut: (effect: ShellEffect) => void;
}): NodeEngine {
	const waiting: NodeEvent[] = [];
	let state = initial;
	let isRunning = false;

	const handle = (effect: NodeEffect) => {
		if (effect.type !== 'peer/send') {
			carryOut(effect);
			return;
		}

		if (effect.to === self) {
			waiting.push({
				type: 'peer/received', from: self, message: effect.message, nowMs: timers.getNow(),
			});
			return;
		}

		send(effect);
	};

	return {
		getState: () => state,
		dispatch(event) {
			waiting.push(event);
			if (isRunning) {
				return;
			}

			isRunning = true;
			try {
				for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
					const step = reduceNode(state, next, cfg);
					state = step.state;
					for (const effect of step.effects) {
						handle(effect);
					}
				}
			} finally {
				isRunning = false;
			}
		},
	};
}
