/**
 * The side of an entry host that runs a job: it asks the owner for the key, for the record of the
 * start and for the keeping of the outcome, and asks again until it is answered.
 */
import type {JobId, MonotonicMs, NodeId} from '@samphiremill/common';
import type {JobOutcome} from '../jobs/types.js';
import type {Step} from '../step.js';
import {claimResendMs} from './constants.js';
import {findOwnership} from './ownership.js';
import type {
	ActiveClaim,
	OwnerAnswer,
	ClaimEndedEvent,
	ClaimName,
	ClaimsEffect,
	ClaimsMessage,
	ClaimsState,
	ClaimStartingEvent,
	ClaimWantedEvent,
} from './types.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

const createOwnerRequest = (claim: ActiveClaim, epoch: number): ClaimsMessage | undefined => {
	const {job, name, bodyHash, isFirstSend, waitingFor} = claim;
	if (waitingFor.type === 'claim') {
		return {
			type: 'claims/request', epoch, name, bodyHash, job, isFirstSend,
		};
	}

	if (waitingFor.type === 'start') {
		const {attempt, minion} = waitingFor;
		return {
			type: 'claims/start', epoch, name, job, attempt, minion,
		};
	}

	if (waitingFor.type === 'outcomeKept') {
		const {outcome, answer} = waitingFor;
		return {
			type: 'claims/outcome', epoch, name, bodyHash, job, outcome, ...(answer === undefined ? {} : {answer}),
		};
	}

	return undefined;
};

const sendToOwner = (state: ClaimsState, claim: ActiveClaim): ClaimsStep => {
	const next = {...state, active: state.active.set(claim.job, claim)};
	const ownership = findOwnership(state, claim.name);
	if (ownership === undefined) {
		return {state: next, effects: []};
	}

	const message = createOwnerRequest(claim, ownership.epoch);
	return {state: next, effects: message === undefined ? [] : [{type: 'peer/send', to: ownership.owner, message}]};
};

/**
 * @param state - The claims of this node.
 * @param event - The job that wants its key.
 * @returns The state with the claim under way, and the request to the owner.
 */
export function requestClaim(state: ClaimsState, event: ClaimWantedEvent): ClaimsStep {
	const {job, name, bodyHash, isFirstSend, nowMs} = event;
	return sendToOwner(state, {
		job, name, bodyHash, isFirstSend, hasStarted: false, waitingFor: {type: 'claim', isInProgress: false}, sentAtMs: nowMs,
	});
}

/**
 * @param state - The claims of this node.
 * @param event - The job that is about to send its first byte.
 * @returns The state with the start under way, and the request to the owner.
 */
export function requestStart(state: ClaimsState, event: ClaimStartingEvent): ClaimsStep {
	const {job, attempt, minion, nowMs} = event;
	const claim = state.active.get(job);
	if (claim === undefined) {
		return {
			state, effects: [{
				type: 'claims/startRecorded', job, attempt, ok: false,
			}],
		};
	}

	return sendToOwner(state, {...claim, waitingFor: {type: 'start', attempt, minion}, sentAtMs: nowMs});
}

// A refused job tells its caller `maybe` where an earlier send of the key may have run. If no byte of
// its own was sent, its key must become free all the same, or every later resend gets this refusal.
const getOutcomeForOwner = ({hasStarted}: ActiveClaim, outcome: JobOutcome): JobOutcome =>
	outcome.type === 'refused' && !hasStarted ? {...outcome, ran: 'no'} : outcome;

/**
 * @param state - The claims of this node.
 * @param event - The job that ended.
 * @returns The state with the outcome under way, and the report to the owner.
 */
export function reportOutcome(state: ClaimsState, event: ClaimEndedEvent): ClaimsStep {
	const {job, answer, nowMs} = event;
	const claim = state.active.get(job);
	if (claim === undefined) {
		return {state, effects: []};
	}

	const outcome = getOutcomeForOwner(claim, event.outcome);

	return sendToOwner(state, {
		...claim,
		waitingFor: {type: 'outcomeKept', outcome, ...(answer === undefined ? {} : {answer})},
		sentAtMs: nowMs,
	});
}

/**
 * Takes the owner's answer to a request. An answer to a job that has ended meanwhile releases the key
 * again, since a delayed request may have claimed it anew.
 *
 * @param options - The claims of this node, the job, its name, the answer, its sender and the time.
 * @returns The next state, with the answer for the jobs part.
 */
export function receiveAnswer({state, job, name, answer, from}: {
	readonly state: ClaimsState;
	readonly job: JobId;
	readonly name: ClaimName;
	readonly answer: OwnerAnswer;
	readonly from: NodeId;
}): ClaimsStep {
	const claim = state.active.get(job);
	if (claim === undefined) {
		return {
			state, effects: answer.type === 'granted'
				? createReleaseEffects({
					state, job, name, to: from,
				})
				: [],
		};
	}

	if (claim.waitingFor.type !== 'claim') {
		return {state, effects: []};
	}

	if (answer.type === 'inProgress') {
		return receiveInProgress(state, claim);
	}

	// A job that is not granted its key never held it, so there is no outcome to report for it.
	const active = answer.type === 'granted'
		? state.active.set(job, {...claim, waitingFor: {type: 'nothing'}})
		: state.active.delete(job);
	return {state: {...state, active}, effects: [{type: 'claims/answered', job, answer}]};
}

const receiveInProgress = (state: ClaimsState, claim: ActiveClaim): ClaimsStep => {
	if (claim.waitingFor.type !== 'claim' || claim.waitingFor.isInProgress) {
		return {state, effects: []};
	}

	const waiting: ActiveClaim = {...claim, waitingFor: {type: 'claim', isInProgress: true}};
	return {
		state: {...state, active: state.active.set(claim.job, waiting)},
		effects: [{type: 'claims/answered', job: claim.job, answer: {type: 'inProgress'}}],
	};
};

const createReleaseEffects = ({state, job, name, to}: {
	readonly state: ClaimsState;
	readonly job: JobId;
	readonly name: ClaimName;
	readonly to: NodeId;
}): ClaimsEffect[] => {
	const ownership = findOwnership(state, name);
	if (ownership?.owner !== to) {
		return [];
	}

	return [{
		type: 'peer/send',
		to,
		message: {
			type: 'claims/outcome',
			epoch: ownership.epoch,
			name,
			bodyHash: '',
			job,
			outcome: {type: 'refused', reason: 'cancelled', ran: 'no'},
		},
	}];
};

/**
 * @param options - The claims of this node, the job, the attempt, and whether the start is recorded.
 * @returns The next state, with the answer for the jobs part.
 */
export function receiveStartAnswer({state, job, attempt, ok}: {
	readonly state: ClaimsState;
	readonly job: JobId;
	readonly attempt: number;
	readonly ok: boolean;
}): ClaimsStep {
	const claim = state.active.get(job);
	if (claim?.waitingFor.type !== 'start' || claim.waitingFor.attempt !== attempt) {
		return {state, effects: []};
	}

	return {
		state: {...state, active: state.active.set(job, {...claim, hasStarted: claim.hasStarted || ok, waitingFor: {type: 'nothing'}})},
		effects: [{
			type: 'claims/startRecorded', job, attempt, ok,
		}],
	};
}

/**
 * @param options - The claims of this node, the asking owner, the job and its name.
 * @returns The answer where this node does not know the job; while it does, the owner hears of it anyway.
 */
export function answerQuery({state, from, job, name}: {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly job: JobId;
	readonly name: ClaimName;
}): ClaimsStep {
	return {
		state,
		effects: state.active.has(job) ? [] : [{type: 'peer/send', to: from, message: {type: 'claims/notActive', job, name}}],
	};
}

/**
 * @param state - The claims of this node.
 * @param job - The job whose outcome the owner keeps.
 * @returns The state without the job.
 */
export function receiveOutcomeKept(state: ClaimsState, job: JobId): ClaimsStep {
	const claim = state.active.get(job);
	if (claim?.waitingFor.type !== 'outcomeKept') {
		return {state, effects: []};
	}

	return {state: {...state, active: state.active.delete(job)}, effects: []};
}

/**
 * @param state - The claims of this node.
 * @param nowMs - The time.
 * @returns The state with what was not answered in time asked again, of the owner of this moment.
 */
export function resendUnanswered(state: ClaimsState, nowMs: MonotonicMs): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const claim of state.active.values()) {
		if (claim.waitingFor.type === 'nothing' || nowMs - claim.sentAtMs < claimResendMs) {
			continue;
		}

		const step = sendToOwner(next, {...claim, sentAtMs: nowMs});
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
}
