/**
 * A planned leave. The leaving host hands over all that it holds and then holds nothing new, so that its removal from the
 * view is no loss.
 */
import type {MonotonicMs, NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import {mergeRecords} from './copies.js';
import type {
	ClaimRecord, ClaimsEffect, ClaimsState, Quarantine,
} from './types.js';
import {hasAllRecords} from './view-changes.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

/** Creates the hand-overs of a leaving node to the members that have not confirmed them. */
export function createLeaveEffects(state: ClaimsState): ClaimsEffect[] {
	const epoch = state.views.get(state.dataCentre)?.epoch;
	if (epoch === undefined || state.awaitedLeaveConfirmations.length === 0) {
		return [];
	}

	const records = [...state.records.values()];
	return state.awaitedLeaveConfirmations.map(to => ({
		type: 'peer/send',
		to,
		message: {
			type: 'claims/handover', epoch, records, quarantineRemainingMs: 0, isLeaving: true,
		},
	}));
}

/**
 * Begins to leave. A node that may have lost records itself hands over nothing: its removal from the view counts as a loss.
 */
export function leaveMembers(state: ClaimsState): ClaimsStep {
	const members = state.views.get(state.dataCentre)?.members ?? [];
	const others = members.includes(state.self) ? members.filter(member => member !== state.self && !state.leftMembers.includes(member)) : [];
	const next = {...state, isLeaving: true, awaitedLeaveConfirmations: hasAllRecords(state) ? others : []};
	return {state: next, effects: createLeaveEffects(next)};
}

/** Handles a member's confirmation that it has all records of this leaving node. */
export function confirmLeave(state: ClaimsState, from: NodeId): ClaimsStep {
	const awaitedLeaveConfirmations = state.awaitedLeaveConfirmations.filter(member => member !== from);
	return {state: {...state, awaitedLeaveConfirmations}, effects: []};
}

// One loss alone can take no record from all hosts that held it.
const endLoss = (quarantine: Quarantine, node: NodeId): Quarantine[] => {
	if (!quarantine.lost.includes(node)) {
		return [quarantine];
	}

	const lost = quarantine.lost.filter(member => member !== node);
	return lost.length < 2 ? [] : [{...quarantine, lost}];
};

/** Merges all records of a leaving member. If it was removed from the view before they arrived, its removal is no loss any more. */
export function receiveLeave({state, from, epoch, records, nowMs}: {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly epoch: number;
	readonly records: readonly ClaimRecord[];
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	if (state.views.get(state.dataCentre)?.epoch !== epoch) {
		return {state, effects: []};
	}

	const {handoverLosses, quarantines, leftMembers} = state;
	return {
		state: {
			...mergeRecords({state, records, nowMs}),
			leftMembers: [...new Set([...leftMembers, from])],
			handoverLosses: handoverLosses && {...handoverLosses, lost: handoverLosses.lost.filter(member => member !== from)},
			quarantines: quarantines.flatMap(quarantine => endLoss(quarantine, from)),
		},
		effects: [{type: 'peer/send', to: from, message: {type: 'claims/leaveKept', epoch}}],
	};
}
