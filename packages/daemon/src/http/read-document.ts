import {
	createFailure, createSuccess, type Finding, type Result,
} from '@samphiremill/common';
import {parseDocument, parseJson} from '@samphiremill/core';
import {maximumDocumentBytes} from './constants.js';
import {sendProblem} from './problem.js';
import {readBody, type BodyBudget} from './read-body.js';
import type {HttpExchange} from './types.js';

type Schema<Document> = Parameters<typeof parseDocument<Document>>[0]['schema'];

const parse = <Document>(text: string, schema: Schema<Document>): Result<Document, readonly Finding[]> => {
	const parsed = parseJson(text);
	return parsed.ok ? parseDocument({schema, document: parsed.value}) : parsed;
};

/**
 * Reads a JSON document from a request, and answers the request if that fails.
 *
 * @returns The document, or a failure whose answer has already been sent.
 */
export async function readDocument<Document>({exchange: {req, res}, schema, budget}: {
	readonly exchange: HttpExchange;
	readonly schema: Schema<Document>;
	readonly budget: BodyBudget;
}): Promise<Result<Document, 'answered'>> {
	const body = await readBody({req, maximumBytes: maximumDocumentBytes, budget});
	if (!body.ok) {
		sendProblem(res, {
			status: body.err.type === 'tooLarge' ? 413 : 400, title: 'The document cannot be read', reason: body.err.type, ran: 'no',
		});
		return createFailure('answered');
	}

	budget.release(body.value.length);
	const parsed = parse(new TextDecoder().decode(body.value), schema);
	if (!parsed.ok) {
		sendProblem(res, {
			status: 400, title: 'The document is not valid', reason: 'invalidDocument', ran: 'no', findings: parsed.err,
		});
		return createFailure('answered');
	}

	return createSuccess(parsed.value);
}
