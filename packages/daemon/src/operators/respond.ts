/** Answers of the operators' routes. */
import {assertNever, type Finding} from '@samphiremill/common';
import type {
	ControlAnswer, RecordChange, RecordConflict, RecordKind,
} from '@samphiremill/core';
import type {Problem} from '../http/types.js';
import {proposalRetryAfterMs} from './constants.js';
import type {ApiResponse, ProposalOutcome} from './types.js';

const millisecondsPerSecond = 1000;

/** The refusal of an operator's request. `ran` states whether the change was made. */
export type OperatorProblem = Problem & {readonly conflicts?: readonly RecordConflict[]};

/**
 * Creates the answer for a refusal, as a problem document.
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
 * Creates the answer to an invalid request.
 *
 * @param findings - The faults in the request, each with its path.
 */
export function createInvalidResponse(findings: readonly Finding[]): ApiResponse {
	return createProblemResponse({
		status: 422, title: 'The document is not valid', reason: 'invalid', ran: 'no', findings,
	});
}

/** Creates the answer of a host that has just started and has no records yet. */
export function createStartingResponse(): ApiResponse {
	return createProblemResponse({
		status: 503, title: 'This entry host has no records yet', reason: 'starting', ran: 'no', retryAfterMs: proposalRetryAfterMs,
	});
}

/**
 * Creates the answer to the deletion of a record that others still refer to.
 *
 * @param findings - The references to the record.
 */
export function createInUseResponse(findings: readonly Finding[]): ApiResponse {
	return createProblemResponse({
		status: 422, title: 'The record is still in use', reason: 'inUse', ran: 'no', findings,
	});
}

/**
 * Creates the 404 answer.
 *
 * @param subject - What was not found, for the title.
 */
export function createNotFoundResponse(subject: string): ApiResponse {
	return createProblemResponse({
		status: 404, title: `There is no ${subject}`, reason: 'notFound', ran: 'no',
	});
}

/**
 * Creates a 200 answer with a JSON document.
 *
 * @param headers - Headers in addition to the content type.
 */
export function createDocumentResponse(document: unknown, headers: Readonly<Record<string, string>> = {}): ApiResponse {
	return {status: 200, headers: {'content-type': 'application/json', ...headers}, document};
}

/**
 * Formats the entity tag of a document.
 *
 * @param revisions - The revisions of the records that the document covers.
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
		status: 412, title: 'The record was changed by another request', reason: 'conflict', ran: 'no', conflicts,
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
 * Creates the answer to the operator who proposed a command.
 */
export function createProposalResponse(outcome: ProposalOutcome): ApiResponse {
	switch (outcome.type) {
		case 'committed': {
			return createAnswerResponse(outcome.answer, outcome.index);
		}

		case 'unavailable': {
			return createProblemResponse({
				status: 503, title: 'No leader is reachable', reason: 'noLeader', ran: 'no', retryAfterMs: proposalRetryAfterMs,
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
