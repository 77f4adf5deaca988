import {
	assertNever, toBrand, type DataCentreId, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import {Map as ImmutableMap} from 'immutable';
import type {Step} from '../step.js';
import {
	answerQuery,
	receiveAnswer,
	receiveOutcomeKept,
	receiveStartAnswer,
	reportOutcome,
	requestClaim,
	requestStart,
	resendUnanswered,
} from './claimer.js';
import {claimRetentionMs} from './constants.js';
import {
	confirmCopy, mergeRecords, receiveCopy, resendCopies,
} from './copies.js';
import {
	markNodeLost, receiveNotActive, receiveOutcome, receiveRequest, receiveStart,
} from './owner.js';
import type {
	ClaimsConfig, ClaimsEffect, ClaimsEvent, ClaimsMessage, ClaimsState,
} from './types.js';
import {
	confirmLeave, createLeaveEffects, leaveMembers, receiveLeave,
} from './planned-leave.js';
import {
	answerHandover, changeView, receiveHandover, resendHandoverRequests,
} from './view-changes.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

/** Creates the claims state of a node that knows no view yet, and so answers for no key. */
export function createClaimsState(self: NodeId, dataCentre: DataCentreId): ClaimsState {
	return {
		self,
		dataCentre,
		views: ImmutableMap(),
		isConfigurationFresh: false,
		servesFromMs: toBrand<MonotonicMs>(0),
		awaitedHandovers: [],
		handoverSentAtMs: toBrand<MonotonicMs>(0),
		handoverLosses: undefined,
		isRecovering: false,
		hasKeptRecords: false,
		isJoining: false,
		isLeaving: false,
		awaitedLeaveConfirmations: [],
		leftMembers: [],
		quarantines: [],
		records: ImmutableMap(),
		waiters: ImmutableMap(),
		active: ImmutableMap(),
		awaitedCopies: ImmutableMap(),
	};
}

const receiveMessage = ({state, from, message, cfg, nowMs}: {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly message: ClaimsMessage;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
}): ClaimsStep => {
	switch (message.type) {
		case 'claims/request': {
			return receiveRequest({
				state, from, message, cfg, nowMs,
			});
		}

		case 'claims/answer': {
			return receiveAnswer({state, ...message, from});
		}

		case 'claims/start': {
			return receiveStart({
				state, from, message, cfg, nowMs,
			});
		}

		case 'claims/startAnswer': {
			return receiveStartAnswer({state, ...message});
		}

		case 'claims/outcome': {
			return receiveOutcome({
				state, from, message, cfg, nowMs,
			});
		}

		case 'claims/outcomeKept': {
			return receiveOutcomeKept(state, message.job);
		}

		case 'claims/copy': {
			return receiveCopy({
				state, ...message, from, nowMs,
			});
		}

		case 'claims/copied': {
			return confirmCopy({state, ...message});
		}

		case 'claims/query': {
			return answerQuery({state, from, ...message});
		}

		case 'claims/notActive': {
			return receiveNotActive({state, ...message, nowMs});
		}

		case 'claims/handoverRequest': {
			return answerHandover({
				state, from, epoch: message.epoch, cfg, nowMs,
			});
		}

		case 'claims/leaveKept': {
			return confirmLeave(state, from);
		}

		case 'claims/handover': {
			return (message.isLeaving === true ? receiveLeave : receiveHandover)({
				state, from, ...message, nowMs,
			});
		}

		default: {
			return assertNever(message);
		}
	}
};

const dropExpiredRecords = (state: ClaimsState, nowMs: MonotonicMs): ClaimsState => {
	const isExpired = (changedAtMs: MonotonicMs) => nowMs - changedAtMs >= claimRetentionMs;
	const records = state.records.filterNot(({stage, isFreed, changedAtMs}) => (stage.type === 'finished' || stage.type === 'lost' || isFreed === true) && isExpired(changedAtMs));
	const quarantines = state.quarantines.filter(({untilMs}) => nowMs < untilMs);
	return records.size === state.records.size && quarantines.length === state.quarantines.length
		? state
		: {...state, records, quarantines};
};

const tick = (state: ClaimsState, cfg: ClaimsConfig, nowMs: MonotonicMs): ClaimsStep => {
	const requested = resendUnanswered(dropExpiredRecords(state, nowMs), nowMs);
	const copied = resendCopies({state: requested.state, cfg, nowMs});
	const handedOver = resendHandoverRequests(copied.state, nowMs);
	return {
		state: handedOver.state,
		effects: [...requested.effects, ...copied.effects, ...handedOver.effects, ...createLeaveEffects(handedOver.state)],
	};
};

/**
 * Applies one event to the claims of one entry host.
 *
 * @returns The next state, and the effects for the shell and the jobs part.
 */
export function reduceClaims(state: ClaimsState, event: ClaimsEvent, cfg: ClaimsConfig): ClaimsStep {
	switch (event.type) {
		case 'claims/wanted': {
			return requestClaim(state, event);
		}

		case 'claims/starting': {
			return requestStart(state, event);
		}

		case 'claims/ended': {
			return reportOutcome(state, event);
		}

		case 'claims/viewChanged': {
			return changeView({state, event, cfg});
		}

		case 'claims/freshnessChanged': {
			return {state: {...state, isConfigurationFresh: event.isFresh}, effects: []};
		}

		case 'claims/nodeLost': {
			return markNodeLost({state, node: event.node, nowMs: event.nowMs});
		}

		case 'claims/persisted': {
			return confirmCopy({state, name: event.name, version: event.version});
		}

		case 'claims/restored': {
			const {records, isComplete, nowMs} = event;
			const restored = {...mergeRecords({state, records, nowMs}), hasKeptRecords: isComplete};
			return markNodeLost({state: restored, node: state.self, nowMs});
		}

		case 'claims/leaving': {
			return leaveMembers(state);
		}

		case 'claims/tick': {
			return tick(state, cfg, event.nowMs);
		}

		case 'peer/received': {
			const {from, message, nowMs} = event;
			return receiveMessage({
				state, from, message, cfg, nowMs,
			});
		}

		default: {
			return assertNever(event);
		}
	}
}
