/**
 * The lifecycle of a peer link as an XState machine. It is driven through the pure `transition()`;
 * the returned actions are the effects.
 *
 * A node dials only while it has no connection. An authenticated connection from the peer therefore
 * means that the peer has abandoned the previous one, and the newer connection replaces it. When both
 * ends dial at once, the dial of the node with the lower id wins.
 */
import {toBrand, type MonotonicMs} from '@samphiremill/common';
import {
	and, assign, not, setup,
} from 'xstate';
import type {
	CloseReason, ConnectionId, PeerLinkContext, PeerLinkEffect, PeerLinkEvent,
} from './types.js';

type Input = Pick<PeerLinkContext, 'cfg' | 'self' | 'peer' | 'isPermanent'> & {readonly nowMs: MonotonicMs};
type ActionScope = {readonly context: PeerLinkContext; readonly event: PeerLinkEvent};

const noConnection = toBrand<ConnectionId>(0);

function getEventConnection({event}: ActionScope): ConnectionId {
	return 'connection' in event ? event.connection : noConnection;
}

function getOwnConnection({context}: ActionScope): ConnectionId {
	return context.connection ?? noConnection;
}

function createEffectAction(createEffect: (scope: ActionScope) => PeerLinkEffect) {
	return {type: 'perform' as const, params: createEffect};
}

function createCloseAction(reason: CloseReason) {
	return createEffectAction(scope => ({type: 'peerLink/close', connection: getOwnConnection(scope), reason}));
}

const accept = createEffectAction(scope => ({type: 'peerLink/accept', connection: getEventConnection(scope)}));
const refuse = createEffectAction(scope => ({type: 'peerLink/close', connection: getEventConnection(scope), reason: 'simultaneousDial'}));
const dial = createEffectAction(scope => ({type: 'peerLink/dial', connection: getOwnConnection(scope)}));
const sendHeartbeat = createEffectAction(scope => ({type: 'peerLink/sendHeartbeat', connection: getOwnConnection(scope)}));
const reportUp = createEffectAction(() => ({type: 'peerLink/changed', isUp: true}));
const reportDown = createEffectAction(() => ({type: 'peerLink/changed', isUp: false}));

function calculateRetryAtMs({context, event}: ActionScope): MonotonicMs {
	const {cfg, failedDials} = context;
	const ceilingMs = Math.min(cfg.maximumBackoffMs, cfg.firstBackoffMs * (2 ** Math.min(failedDials, 16)));
	const jitter = 'jitter' in event ? event.jitter : 0.5;
	return toBrand<MonotonicMs>(event.nowMs + (ceilingMs * (0.5 + (jitter / 2))));
}

function hasBeenInStateFor({context, event}: ActionScope, durationMs: number): boolean {
	return event.nowMs - context.enteredAtMs >= durationMs;
}

/* eslint-disable @typescript-eslint/naming-convention -- XState names transitions after event types */
/** The state machine of one link. Its input holds both ends, the timings, whether the link is permanent, and the time. */
export const peerLinkMachine = setup({
	types: {
		/* eslint-disable @typescript-eslint/consistent-type-assertions, @typescript-eslint/no-unsafe-type-assertion -- how XState takes types */
		context: {} as PeerLinkContext,
		events: {} as PeerLinkEvent,
		input: {} as Input,
		/* eslint-enable @typescript-eslint/consistent-type-assertions, @typescript-eslint/no-unsafe-type-assertion */
	},
	actions: {
		/** Carries an effect for the shell in its parameters. */
		perform(_, _effect: PeerLinkEffect) {
			// `transition()` returns the action and never runs it.
		},
		enter: assign({enteredAtMs: ({event}) => event.nowMs}),
		startDial: assign({connection: ({event}) => 'freshConnection' in event ? event.freshConnection : undefined}),
		adopt: assign({connection: scope => getEventConnection(scope)}),
		// A connection that is closed right after its handshake is no better than a dial that fails.
		forgetFailures: assign({
			failedDials: scope => hasBeenInStateFor(scope, scope.context.cfg.maximumBackoffMs) ? 0 : scope.context.failedDials,
		}),
		planRetry: assign({
			connection: undefined,
			retryAtMs: scope => calculateRetryAtMs(scope),
			failedDials: ({context}) => context.failedDials + 1,
		}),
		forget: assign({connection: undefined, failedDials: 0}),
	},
	guards: {
		isOwnConnection: ({context, event}) => 'connection' in event && event.connection === context.connection,
		isDialOverdue: scope => hasBeenInStateFor(scope, scope.context.cfg.dialTimeoutMs),
		isOwnDialPreferred: scope => scope.context.self < scope.context.peer && !hasBeenInStateFor(scope, scope.context.cfg.simultaneousDialMs),
		isMute: ({context, event}) => event.type === 'peerLink/tick'
			&& event.nowMs - Math.max(event.lastReceivedAtMs, context.enteredAtMs) >= context.cfg.muteTimeoutMs,
		isUnused: ({context, event}) => event.type === 'peerLink/tick' && !context.isPermanent
			&& event.nowMs - Math.max(event.lastUsedAtMs, context.enteredAtMs) >= context.cfg.idleCloseMs,
		isHeartbeatDue: ({context, event}) => event.type === 'peerLink/tick'
			&& event.nowMs - event.lastSentAtMs >= context.cfg.heartbeatPeriodMs,
		isRetryDue: ({context, event}) => event.nowMs >= context.retryAtMs,
		isPermanent: ({context}) => context.isPermanent,
	},
}).createMachine({
	id: 'peerLink',
	context: ({input}) => ({
		cfg: input.cfg,
		self: input.self,
		peer: input.peer,
		isPermanent: input.isPermanent,
		connection: undefined,
		enteredAtMs: input.nowMs,
		retryAtMs: input.nowMs,
		failedDials: 0,
	}),
	initial: 'idle',
	on: {
		'peerLink/helloReceived': {actions: accept},
	},
	states: {
		idle: {
			on: {
				'peerLink/wanted': {target: 'dialling'},
				'peerLink/tick': {guard: 'isPermanent', target: 'dialling'},
				'peerLink/established': {target: 'up'},
			},
		},
		dialling: {
			entry: ['enter', 'startDial', dial],
			on: {
				'peerLink/helloReceived': [
					{guard: 'isOwnDialPreferred', actions: refuse},
					{actions: accept},
				],
				'peerLink/established': [
					{guard: 'isOwnConnection', target: 'up'},
					{target: 'up', actions: createCloseAction('simultaneousDial')},
				],
				'peerLink/closed': {guard: 'isOwnConnection', target: 'waiting'},
				'peerLink/tick': {guard: 'isDialOverdue', target: 'waiting', actions: createCloseAction('dialTimeout')},
			},
		},
		up: {
			entry: ['enter', 'adopt', reportUp],
			exit: ['forgetFailures', reportDown],
			on: {
				'peerLink/established': {
					guard: not('isOwnConnection'),
					target: 'up',
					reenter: true,
					actions: createCloseAction('replaced'),
				},
				'peerLink/closed': {guard: 'isOwnConnection', target: 'waiting'},
				'peerLink/tick': [
					{guard: 'isMute', target: 'waiting', actions: createCloseAction('mute')},
					{guard: 'isUnused', target: 'idle', actions: [createCloseAction('idle'), 'forget']},
					{guard: 'isHeartbeatDue', actions: sendHeartbeat},
				],
			},
		},
		waiting: {
			entry: ['enter', 'planRetry'],
			on: {
				'peerLink/established': {target: 'up'},
				'peerLink/tick': [
					{guard: and(['isRetryDue', 'isPermanent']), target: 'dialling'},
					{guard: 'isRetryDue', target: 'idle'},
				],
			},
		},
	},
});
/* eslint-enable @typescript-eslint/naming-convention */
