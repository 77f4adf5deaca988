/**
 * Changes of ownership when the members of a data centre change or when this node restarts.
 */
import {toBrand, type MonotonicMs, type NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import {claimResendMs, claimRetentionMs, takeoverWaitMs} from './constants.js';
import {mergeRecords, replicateRecord} from './copies.js';
import {findOwnership} from './ownership.js';
import type {
	ClaimRecord,
	ClaimsConfig,
	ClaimsEffect,
	ClaimsState,
	ClaimView,
	ClaimViewChangedEvent,
	Quarantine,
} from './types.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

const addMs = (nowMs: MonotonicMs, durationMs: number): MonotonicMs => toBrand<MonotonicMs>(nowMs + durationMs);

const createHandoverRequests = (members: readonly NodeId[], epoch: number): ClaimsEffect[] =>
	members.map(to => ({type: 'peer/send', to, message: {type: 'claims/handoverRequest', epoch}}));

type HandoverLosses = NonNullable<ClaimsState['handoverLosses']>;

/** Accumulates the lost members until every hand-over of the earlier view changes has arrived. */
const accumulateLosses = ({state, former, view}: {
	readonly state: ClaimsState;
	readonly former: ClaimView;
	readonly view: ClaimView;
}): HandoverLosses => {
	const removed = former.members.filter(member => !view.members.includes(member) && !state.leftMembers.includes(member));
	const restarted = state.isRecovering ? [state.self] : [];
	const earlier = state.awaitedHandovers.length > 0 ? state.handoverLosses : undefined;
	return {
		members: earlier?.members ?? former.members,
		lost: [...new Set([...(earlier?.lost ?? []), ...removed, ...restarted])],
	};
};

/**
 * Each record is on at least two hosts, so only the loss of two or more hosts can lose a record. The quarantine
 * lasts as long as records are kept, because a lost record would have answered resends for that time.
 */
const createQuarantines = ({members, lost}: HandoverLosses, nowMs: MonotonicMs): Quarantine[] =>
	lost.length < 2 ? [] : [{members, lost, untilMs: addMs(nowMs, claimRetentionMs)}];

const joinAfterRestart = (state: ClaimsState, event: ClaimViewChangedEvent): ClaimsStep => {
	const {view, nowMs} = event;
	const others = view.members.filter(member => member !== state.self);
	return {
		state: {
			...state,
			awaitedHandovers: others,
			handoverSentAtMs: nowMs,
			isRecovering: others.length > 0,
			isJoining: others.length > 0,
			servesFromMs: others.length === 0 ? nowMs : addMs(nowMs, takeoverWaitMs),
		},
		effects: createHandoverRequests(others, view.epoch),
	};
};

// A node without a former view that has not lost records learns what the other members hold of its ranges: its
// data folder may have been emptied, it may have learnt late that it is a member, or it was stopped for a while.
const joinView = (state: ClaimsState, event: ClaimViewChangedEvent): ClaimsStep => {
	if (event.isRestart && !state.hasKeptRecords) {
		return joinAfterRestart(state, event);
	}

	const isAlone = event.view.members.every(member => member === state.self);
	return isAlone ? {state, effects: []} : takeOver({state: {...state, isJoining: true}, former: event.view, event});
};

const takeOver = ({state, former, event}: {
	readonly state: ClaimsState;
	readonly former: ClaimView;
	readonly event: ClaimViewChangedEvent;
}): ClaimsStep => {
	const {view, nowMs} = event;
	const handoverLosses = accumulateLosses({state, former, view});
	const isAdded = (member: NodeId) => view.members.includes(member) && !former.members.includes(member);
	const survivors = view.members.filter(member => member !== state.self && former.members.includes(member));
	return {
		state: {
			...state,
			awaitedHandovers: survivors,
			isJoining: state.isJoining && survivors.length > 0,
			leftMembers: state.leftMembers.filter(member => !isAdded(member)),
			handoverLosses,
			handoverSentAtMs: nowMs,
			servesFromMs: addMs(nowMs, takeoverWaitMs),
			quarantines: [...state.quarantines, ...createQuarantines(handoverLosses, nowMs)],
		},
		effects: createHandoverRequests(survivors, view.epoch),
	};
};

/**
 * Handles a committed view. A view of another data centre only determines where requests are sent. Under a
 * new view of its own data centre, a node answers only after the members common to both views have handed
 * over their records of its ranges, and after the configuration leases of removed members have expired.
 */
export function changeView({state, event, cfg}: {
	readonly state: ClaimsState;
	readonly event: ClaimViewChangedEvent;
	readonly cfg: ClaimsConfig;
}): ClaimsStep {
	const {view, nowMs} = event;
	const former = state.views.get(view.dataCentre);
	if (former !== undefined && former.epoch >= view.epoch) {
		return {state, effects: []};
	}

	const known = {...state, views: state.views.set(view.dataCentre, view)};
	if (view.dataCentre !== state.dataCentre || !view.members.includes(state.self)) {
		return {state: known, effects: []};
	}

	if (former === undefined) {
		return joinView(known, event);
	}

	const step = takeOver({state: known, former, event});
	const copied = copyOwnedRecords({state: step.state, cfg, nowMs});
	return {state: copied.state, effects: [...step.effects, ...copied.effects]};
}

/**
 * Checks whether this node has every record that it must hold, so that a process which begins with them has lost none.
 *
 * @returns False after a restart without the records, while hand-overs are awaited, and while a quarantine lasts, as
 * records do not tell the next process of losses.
 */
export function hasAllRecords({hasKeptRecords, isRecovering, awaitedHandovers, quarantines, views, dataCentre}: ClaimsState): boolean {
	const hasLostNone = hasKeptRecords || (views.has(dataCentre) && !isRecovering);
	return hasLostNone && awaitedHandovers.length === 0 && quarantines.length === 0;
}

const isOwnedBy = (state: ClaimsState, record: ClaimRecord, node: NodeId): boolean =>
	findOwnership(state, record.name)?.owner === node;

/** Copies the owned records again: a member that left or restarted may have held the only second copy. */
const copyOwnedRecords = ({state, cfg, nowMs}: {
	readonly state: ClaimsState;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
}): ClaimsStep => {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const record of state.records.values()) {
		if (record.stage.type === 'claimed' || !isOwnedBy(state, record, state.self)) {
			continue;
		}

		const attempt = record.stage.type === 'started' ? record.stage.attempt : 0;
		const step = replicateRecord({
			state: next, record, attempt, cfg, nowMs,
		});
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
};

const getQuarantineRemainingMs = (state: ClaimsState, nowMs: MonotonicMs): number => {
	if (state.isRecovering) {
		return claimRetentionMs;
	}

	return Math.max(0, ...state.quarantines.map(({untilMs}) => untilMs - nowMs));
};

// A member that asks for hand-overs has come back, and will hold records that it has not handed over.
const forgetLeave = (state: ClaimsState, from: NodeId): ClaimsState =>
	state.leftMembers.includes(from) ? {...state, leftMembers: state.leftMembers.filter(member => member !== from)} : state;

/**
 * Sends a member the records of its ranges. The records that this node owns are included, so that a
 * restarted member holds its second copies again when it begins to answer: this node may be lost next.
 *
 * @param options - `epoch` is the view epoch that the requesting member saw.
 */
export function answerHandover({state, from, epoch, cfg, nowMs}: {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly epoch: number;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	if (state.views.get(state.dataCentre)?.epoch !== epoch) {
		return {state, effects: []};
	}

	const records = [...state.records.values()].filter(record => isOwnedBy(state, record, from) || isOwnedBy(state, record, state.self));
	const copied = copyOwnedRecords({state: forgetLeave(state, from), cfg, nowMs});
	return {
		state: copied.state,
		effects: [
			{
				type: 'peer/send',
				to: from,
				message: {
					type: 'claims/handover', epoch, records, quarantineRemainingMs: getQuarantineRemainingMs(state, nowMs),
				},
			},
			...copied.effects,
		],
	};
}

/**
 * Merges the records that a member held for this node. If that member may have lost records itself, keys
 * of this node's ranges that have no record are answered with `unknown` until the quarantine ends.
 */
export function receiveHandover({state, from, epoch, records, quarantineRemainingMs, nowMs}: {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly epoch: number;
	readonly records: readonly ClaimRecord[];
	readonly quarantineRemainingMs: number;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	const view = state.views.get(state.dataCentre);
	if (view?.epoch !== epoch || !state.awaitedHandovers.includes(from)) {
		return {state, effects: []};
	}

	const awaitedHandovers = state.awaitedHandovers.filter(member => member !== from);
	const quarantine: Quarantine = {
		members: view.members, lost: [state.self], untilMs: addMs(nowMs, quarantineRemainingMs),
	};
	return {
		state: {
			...mergeRecords({state, records, nowMs}),
			awaitedHandovers,
			handoverLosses: awaitedHandovers.length > 0 ? state.handoverLosses : undefined,
			isRecovering: state.isRecovering && awaitedHandovers.length > 0,
			isJoining: state.isJoining && awaitedHandovers.length > 0,
			quarantines: quarantineRemainingMs > 0 ? [...state.quarantines, quarantine] : state.quarantines,
		},
		effects: [],
	};
}

/** Sends the unanswered hand-over requests again once they are overdue. */
export function resendHandoverRequests(state: ClaimsState, nowMs: MonotonicMs): ClaimsStep {
	const view = state.views.get(state.dataCentre);
	const isDue = nowMs - state.handoverSentAtMs >= claimResendMs;
	if (view === undefined || state.awaitedHandovers.length === 0 || !isDue) {
		return {state, effects: []};
	}

	return {
		state: {...state, handoverSentAtMs: nowMs},
		effects: createHandoverRequests(state.awaitedHandovers, view.epoch),
	};
}
