/**
 * Runs the replicated log of this node and applies its committed commands to the records.
 */
import {
	describeError, type NodeId, type RandomSource, type Result, type TimerService,
} from '@samphiremill/common';
import {
	applyControlCommand,
	createControlState,
	defaultReplicaLimits,
	restoreControlState,
	serializeControlState,
	type ControlAnswer,
	type ControlCommand,
	type ControlState,
	type NodeAddress,
	type ReplicaMessage,
} from '@samphiremill/core';
import {getEncodedBytes} from '../peers/index.js';
import {createReplicaHost, type ReplicaHost} from '../replica-host.js';
import type {ReplicaStore} from '../store/index.js';
import type {StructuredLogger} from './types.js';

/** The replicated log and the state that results from its committed commands. */
export type ControlHost = {
	readonly replica: ReplicaHost<ControlCommand, ControlAnswer>;
	readonly getControl: () => ControlState;
};

const installSnapshot = (data: string, log: StructuredLogger): ControlState => {
	const {state, findings} = restoreControlState(JSON.parse(data));
	for (const {path, message} of findings) {
		log.warn(`snapshot ${path}: ${message}`, {path});
	}

	return state;
};

/** Starts the replicated log with empty records. Without a `store` this node only observes. */
export function startControlHost({self, addresses, store, timers, random, processId, log, send, onChanged, onLeaderChanged}: {
	readonly self: NodeId;
	readonly addresses: readonly NodeAddress[];
	readonly store: ReplicaStore<ControlCommand> | undefined;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly processId: string;
	readonly log: StructuredLogger;
	readonly send: (to: NodeId, message: ReplicaMessage<ControlCommand>) => void;
	/** Called once for all entries that are applied in one batch. */
	readonly onChanged: () => void;
	readonly onLeaderChanged: (leader: NodeId | undefined) => void;
}): ControlHost {
	let control = createControlState();
	let isNotificationPending = false;

	const scheduleChangeNotification = () => {
		if (isNotificationPending) {
			return;
		}

		isNotificationPending = true;
		queueMicrotask(() => {
			isNotificationPending = false;
			onChanged();
		});
	};

	const replica = createReplicaHost<ControlCommand, ControlAnswer>({
		cfg: {
			self,
			nodes: addresses.map(({node, dataCentre, isVoter}) => ({node, dataCentre, isInitialVoter: isVoter})),
			limits: defaultReplicaLimits,
			random,
			measureEntry: getEncodedBytes,
		},
		...(store === undefined ? {} : {store}),
		timers,
		processId,
		send,
		applyCommand(command) {
			const step = applyControlCommand(control, command);
			control = step.state;
			scheduleChangeNotification();
			return step.answer;
		},
		createSnapshot: () => JSON.stringify(serializeControlState(control)),
		installSnapshot(data) {
			control = installSnapshot(data, log);
			scheduleChangeNotification();
		},
		onRoleChanged({role, term, leader}) {
			log.info(`the replicated log is in term ${term}`, {role, term, leader});
			onLeaderChanged(leader);
		},
		onFailure({activity, index, err}) {
			log.error(`unexpected error in ${activity}`, {activity, index, err: describeError(err)});
		},
	});
	return {replica, getControl: () => control};
}

/** The result of a proposal. */
export type ControlProposal = Result<{readonly index: number; readonly answer: ControlAnswer | undefined}, unknown>;
