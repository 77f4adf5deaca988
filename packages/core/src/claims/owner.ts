/**
 * The owner of a key, which is an entry host. It decides which entry host may run the job, records the
 * start on a second host before it permits the first byte, and stores the outcome for resends.
 */
import type {JobId, MonotonicMs, NodeId} from '@samphiremill/common';
import type {Step} from '../step.js';
import {maximumStoredAnswerBytes} from './constants.js';
import {replicateRecord} from './copies.js';
import {canAnswerFor, isQuarantined} from './ownership.js';
import type {
	OwnerAnswer,
	ClaimOutcomeMessage,
	ClaimRecord,
	ClaimRequestMessage,
	ClaimsConfig,
	ClaimsEffect,
	ClaimsState,
	ClaimStartMessage,
} from './types.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

type OwnerInput<Message> = {
	readonly state: ClaimsState;
	readonly from: NodeId;
	readonly message: Message;
	readonly cfg: ClaimsConfig;
	readonly nowMs: MonotonicMs;
};

const getAnswerToResend = (record: ClaimRecord, message: ClaimRequestMessage): OwnerAnswer => {
	if (record.bodyHash !== message.bodyHash) {
		return {type: 'conflict'};
	}

	const {stage} = record;
	if (stage.type === 'finished') {
		const {outcome, answer} = stage;
		return {type: 'replay', outcome, ...(answer === undefined ? {} : {answer})};
	}

	if (stage.type === 'lost') {
		return {type: 'unknown'};
	}

	return record.job === message.job && stage.type === 'claimed' ? {type: 'granted'} : {type: 'inProgress'};
};

const addWaiter = ({state, from, message}: OwnerInput<ClaimRequestMessage>): ClaimsState => {
	const {name, job} = message;
	const waiters = state.waiters.get(name) ?? [];
	if (waiters.some(waiter => waiter.job === job)) {
		return state;
	}

	return {...state, waiters: state.waiters.set(name, [...waiters, {node: from, job}])};
};

const createAnswerEffect = (input: OwnerInput<ClaimRequestMessage>, answer: OwnerAnswer): ClaimsEffect => {
	const {job, name} = input.message;
	return {
		type: 'peer/send',
		to: input.from,
		message: {
			type: 'claims/answer', job, name, answer,
		},
	};
};

// The claimer may have restarted, or may have reported the end of the job to a former owner that was lost.
const createClaimerQuery = ({name, job, claimer}: ClaimRecord): ClaimsEffect[] => [
	{type: 'peer/send', to: claimer, message: {type: 'claims/query', job, name}},
];

/**
 * Decides which entry host may run the job of a key. A node that may not answer for the key sends no
 * answer, so that the claimer repeats its request, possibly to another owner.
 */
export function receiveRequest(input: OwnerInput<ClaimRequestMessage>): ClaimsStep {
	const {state, from, message, nowMs} = input;
	const {name, bodyHash, job, epoch, isFirstSend} = message;
	if (!canAnswerFor({
		state, name, epoch, nowMs,
	})) {
		return {state, effects: []};
	}

	const record = state.records.get(name);
	if (record !== undefined && record.isFreed !== true) {
		const answer = getAnswerToResend(record, message);
		const next = answer.type === 'inProgress' ? addWaiter(input) : state;
		return {state: next, effects: [createAnswerEffect(input, answer), ...(answer.type === 'inProgress' ? createClaimerQuery(record) : [])]};
	}

	if (!isFirstSend && isQuarantined({state, name, nowMs})) {
		return {state, effects: [createAnswerEffect(input, {type: 'unknown'})]};
	}

	// Versions go on, so that a late confirmation of a freed record confirms no other.
	const claimed: ClaimRecord = {
		name, bodyHash, job, claimer: from, stage: {type: 'claimed'}, version: (record?.version ?? 0) + 1, epoch, changedAtMs: nowMs,
	};
	return {
		state: {...state, records: state.records.set(name, claimed), awaitedCopies: state.awaitedCopies.delete(name)},
		effects: [createAnswerEffect(input, {type: 'granted'})],
	};
}

const createStartAnswerEffect = (input: OwnerInput<ClaimStartMessage>, ok: boolean): ClaimsEffect => {
	const {job, attempt} = input.message;
	return {
		type: 'peer/send',
		to: input.from,
		message: {
			type: 'claims/startAnswer', job, attempt, ok,
		},
	};
};

/**
 * Records that a job is about to send its first byte. The answer is sent once the second copy of the
 * record is confirmed.
 */
export function receiveStart(input: OwnerInput<ClaimStartMessage>): ClaimsStep {
	const {state, message, cfg, nowMs} = input;
	const {name, job, epoch, attempt, minion} = message;
	if (!canAnswerFor({
		state, name, epoch, nowMs,
	})) {
		return {state, effects: []};
	}

	const record = state.records.get(name);
	if (record?.job !== job || record.isFreed === true || record.stage.type === 'finished' || record.stage.type === 'lost') {
		return {state, effects: [createStartAnswerEffect(input, false)]};
	}

	const isRecorded = record.stage.type === 'started' && record.stage.attempt === attempt;
	if (isRecorded) {
		const isReplicated = !state.awaitedCopies.has(name);
		return {state, effects: isReplicated ? [createStartAnswerEffect(input, true)] : []};
	}

	if (record.stage.type === 'started' && record.stage.attempt > attempt) {
		return {state, effects: [createStartAnswerEffect(input, false)]};
	}

	const started: ClaimRecord = {
		...record, stage: {type: 'started', minion, attempt}, version: record.version + 1, epoch, changedAtMs: nowMs,
	};
	return replicateRecord({
		state, record: started, attempt, cfg, nowMs,
	});
}

const isAnswerSmallEnough = ({answer}: ClaimOutcomeMessage): boolean =>
	answer !== undefined && answer.bodyBase64.length <= maximumStoredAnswerBytes;

const createFinishedRecord = ({from, message, nowMs}: OwnerInput<ClaimOutcomeMessage>, version: number): ClaimRecord => ({
	name: message.name,
	bodyHash: message.bodyHash,
	job: message.job,
	claimer: from,
	stage: {
		type: 'finished',
		outcome: message.outcome,
		...(isAnswerSmallEnough(message) && message.answer !== undefined ? {answer: message.answer} : {}),
	},
	version,
	epoch: message.epoch,
	changedAtMs: nowMs,
});

const answerWaiters = (state: ClaimsState, record: ClaimRecord): ClaimsStep => {
	const waiters = state.waiters.get(record.name) ?? [];
	if (record.stage.type !== 'finished') {
		return {state, effects: []};
	}

	const {outcome, answer} = record.stage;
	const replay: OwnerAnswer = {type: 'replay', outcome, ...(answer === undefined ? {} : {answer})};
	return {
		state: {...state, waiters: state.waiters.delete(record.name)},
		effects: waiters.map(({node, job}) => ({
			type: 'peer/send',
			to: node,
			message: {
				type: 'claims/answer', job, name: record.name, answer: replay,
			},
		})),
	};
};

const createOutcomeConfirmation = ({from, message}: OwnerInput<ClaimOutcomeMessage>): ClaimsEffect => ({
	type: 'peer/send', to: from, message: {type: 'claims/outcomeKept', job: message.job},
});

// Other hosts may hold a copy of the recorded start, and the next owner would take its job for lost.
const freeKey = ({state, message: {name, epoch}, cfg, nowMs}: OwnerInput<ClaimOutcomeMessage>, record: ClaimRecord): ClaimsStep => {
	if (record.stage.type !== 'started') {
		return {state: {...state, records: state.records.delete(name), awaitedCopies: state.awaitedCopies.delete(name)}, effects: []};
	}

	const freed: ClaimRecord = {
		...record, isFreed: true, version: record.version + 1, epoch, changedAtMs: nowMs,
	};
	return replicateRecord({
		state, record: freed, attempt: 0, cfg, nowMs,
	});
};

/**
 * Stores the outcome of a job for resends, and answers the resends that wait for it. The key of a job
 * that was not run is freed. Waiting resends repeat their requests, and the next one may run.
 */
export function receiveOutcome(input: OwnerInput<ClaimOutcomeMessage>): ClaimsStep {
	const {state, message, cfg, nowMs} = input;
	const {name, job, epoch, outcome} = message;
	if (!canAnswerFor({
		state, name, epoch, nowMs,
	})) {
		return {state, effects: []};
	}

	const record = state.records.get(name);
	if (record?.job !== job || record.isFreed === true || record.stage.type === 'finished') {
		return {state, effects: [createOutcomeConfirmation(input)]};
	}

	if (outcome.type === 'refused' && outcome.ran === 'no') {
		const freed = freeKey(input, record);
		return {state: freed.state, effects: [createOutcomeConfirmation(input), ...freed.effects]};
	}

	const finished = createFinishedRecord(input, record.version + 1);
	const answered = answerWaiters(state, finished);
	const replicated = replicateRecord({
		state: answered.state, record: finished, attempt: 0, cfg, nowMs,
	});
	return {state: replicated.state, effects: [createOutcomeConfirmation(input), ...answered.effects, ...replicated.effects]};
}

/**
 * Resolves a claim whose claimer no longer knows the job: a started job becomes lost, and a key that was
 * only claimed is freed.
 */
export function receiveNotActive({state, name, job, nowMs}: {
	readonly state: ClaimsState;
	readonly name: string;
	readonly job: JobId;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	const record = state.records.get(name);
	return record?.job === job ? releaseLostClaim({state, record, nowMs}) : {state, effects: []};
}

const releaseLostClaim = ({state, record, nowMs}: {
	readonly state: ClaimsState;
	readonly record: ClaimRecord;
	readonly nowMs: MonotonicMs;
}): ClaimsStep => {
	if (record.stage.type === 'claimed') {
		return {state: {...state, records: state.records.delete(record.name)}, effects: []};
	}

	if (record.stage.type !== 'started' || record.isFreed === true) {
		return {state, effects: []};
	}

	const lost: ClaimRecord = {
		...record, stage: {type: 'lost'}, version: record.version + 1, changedAtMs: nowMs,
	};
	const effects = (state.waiters.get(record.name) ?? []).map(({node: to, job}): ClaimsEffect => ({
		type: 'peer/send',
		to,
		message: {
			type: 'claims/answer', job, name: record.name, answer: {type: 'unknown'},
		},
	}));
	return {
		state: {...state, records: state.records.set(record.name, lost), waiters: state.waiters.delete(record.name)},
		effects,
	};
};

/**
 * Resolves the claims of a lost entry host: started jobs become lost, and keys that were only claimed are
 * freed.
 */
export function markNodeLost({state, node, nowMs}: {
	readonly state: ClaimsState;
	readonly node: NodeId;
	readonly nowMs: MonotonicMs;
}): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const record of state.records.filter(({claimer}) => claimer === node).values()) {
		const step = releaseLostClaim({state: next, record, nowMs});
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
}
