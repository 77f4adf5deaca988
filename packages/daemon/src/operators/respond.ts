/** Answers of the operators' routes. */
import {assertNever, type Finding} from '@samphiremill/common';
import type {
	ControlAnswer, RecordChange, RecordConflict, RecordKind,
} from '@samphiremill/core';
import type {Problem} from '../http/types.js';
import {proposalRetryAfterMs} from './constants.js';
import type {ApiResponse, ProposalOutcome} from './types.js';

const millisecondsPerSecond = 1000;

/** A refusal of an operator's request. `ran` tells whether the change was made. */
export type OperatorProblem = Problem & {readonly conflicts?: readonly RecordConflict[]};

/**
 * @param problem - The refusal.
 * @returns The answer that tells it.
 */
export function createProblemResponse(problem: OperatorProblem): ApiResponse {
	const {retryAfterMs, reason} = problem;
	return {
		status: problem.status,
		headers: {
			'content-type': 'application/problem+json',
			...(retryAfterMs !== undefined && {'retry-after': String(Math.ceil(retryAfterMs / millisecondsPerSecond))}),
		},
		document: {type: `urn:samphiremill:problem:${reason}`, ...problem},
	};
}

/**
 * @param findings - What is wrong in the request, with its place.
 * @returns The answer that tells all findings.
 */
export function createInvalidResponse(findings: readonly Finding[]): ApiResponse {
	return createProblemResponse({
		status: 422, title: 'The document is not valid', reason: 'invalid', ran: 'no', findings,
	});
}

/** @returns The answer of a host that has started and knows no records yet. */
export function createStartingResponse(): ApiResponse {
	return createProblemResponse({
		status: 503, title: 'This entry host has no records yet', reason: 'starting', ran: 'no', retryAfterMs: proposalRetryAfterMs,
	});
}

/**
 * @param findings - What still needs the record that was to be deleted.
 * @returns The answer that tells all of it.
 */
export function createInUseResponse(findings: readonly Finding[]): ApiResponse {
	return createProblemResponse({
		status: 422, title: 'The record is still in use', reason: 'inUse', ran: 'no', findings,
	});
}

/**
 * @param subject - What was not found.
 * @returns The answer that tells it.
 */
export function createNotFoundResponse(subject: string): ApiResponse {
	return createProblemResponse({
		status: 404, title: `There is no ${subject}`, reason: 'notFound', ran: 'no',
	});
}

/**
 * @param document - The document to answer with.
 * @param headers - Headers besides the content type.
 * @returns The answer.
 */
export function createDocumentResponse(document: unknown, headers: Readonly<Record<string, string>> = {}): ApiResponse {
	return {status: 200, headers: {'content-type': 'application/json', ...headers}, document};
}

/**
 * @param revisions - The revisions of the records that a document stands for.
 * @returns The entity tag.
 */
export function formatEtag(revisions: readonly number[]): string {
	return `"${revisions.join('-')}"`;
}

function createAcceptedResponse({changes, index}: {
	readonly changes: readonly RecordChange[];
	readonly index: number;
}): ApiResponse {
	const isCreated = changes.some(({outcome}) => outcome === 'created');
	return {
		status: isCreated ? 201 : 200,
		headers: {'content-type': 'application/json', etag: formatEtag(changes.map(({revision}) => revision))},
		document: {changes, index},
	};
}

function createConflictResponse(conflicts: readonly RecordConflict[]): ApiResponse {
	return createProblemResponse({
		status: 412, title: 'Another change came first', reason: 'conflict', ran: 'no', conflicts,
	});
}

function describeRecord({kind, id}: {readonly kind: RecordKind; readonly id: string}): string {
	return `${kind} ${id}`;
}

function createAnswerResponse(answer: ControlAnswer, index: number): ApiResponse {
	switch (answer.type) {
		case 'accepted': {
			return createAcceptedResponse({changes: answer.changes, index});
		}

		case 'conflict': {
			return createConflictResponse(answer.conflicts);
		}

		case 'invalid': {
			return createInvalidResponse(answer.findings);
		}

		case 'notFound': {
			return createNotFoundResponse(describeRecord(answer));
		}

		case 'changeIdReused': {
			return createProblemResponse({
				status: 409, title: 'The change id was used for another change', reason: 'changeIdReused', ran: 'no',
			});
		}

		case 'applied': {
			return createDocumentResponse({changes: [], index});
		}

		case 'rejected': {
			return createProblemResponse({
				status: 409, title: answer.message, reason: answer.reason, ran: 'no',
			});
		}

		default: {
			return assertNever(answer);
		}
	}
}

/**
 * @param outcome - What became of a proposed command.
 * @returns The answer for the operator who sent it.
 */
export function createProposalResponse(outcome: ProposalOutcome): ApiResponse {
	switch (outcome.type) {
		case 'committed': {
			return createAnswerResponse(outcome.answer, outcome.index);
		}

		case 'unavailable': {
			return createProblemResponse({
				status: 503, title: 'No leader is in reach', reason: 'noLeader', ran: 'no', retryAfterMs: proposalRetryAfterMs,
			});
		}

		case 'unknown': {
			return createProblemResponse({
				status: 504,
				title: 'The change may have been accepted',
				detail: 'Send it again under the same change id.',
				reason: 'answerLost',
				ran: 'maybe',
				retryAfterMs: proposalRetryAfterMs,
			});
		}

		default: {
			return assertNever(outcome);
		}
	}
}
