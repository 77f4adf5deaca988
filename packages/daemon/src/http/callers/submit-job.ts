import {createHash} from 'node:crypto';
import {
	createFailure, createSuccess, toBrand, type JobId, type MonotonicMs, type QueueId, type Result, type TeamId,
} from '@samphiremill/common';
import {getQueue, type JobSpec, type QueueRecord} from '@samphiremill/core';
import type {Runtime} from '../../runtime/types.js';
import {sendProblem} from '../problem.js';
import {readBody, type ReadBodyError} from '../read-body.js';
import type {HttpExchange, HttpRoute, Problem} from '../types.js';
import {createStreamingSink} from './answer-sinks.js';
import {authorizeTeam} from './authorize-team.js';
import {parseSubmission, type SubmissionHeaders} from './parse-submission.js';

const stoppingRetryAfterMs = 1000;
const budgetRetryAfterMs = 1000;

type Admission = {
	readonly queue: QueueRecord;
	readonly team: TeamId;
	readonly headers: SubmissionHeaders;
};

/** Performs all checks that do not need the body. */
const admit = (runtime: Runtime, {req, params}: HttpExchange): Result<Admission, Problem> => {
	if (runtime.isStopping()) {
		return createFailure({
			status: 503, title: 'This entry host is stopping', reason: 'stopping', ran: 'no', retryAfterMs: stoppingRetryAfterMs,
		});
	}

	if (runtime.getFreshness() === 'starting') {
		return createFailure({
			status: 503, title: 'This entry host is starting', reason: 'configurationStale', ran: 'no', retryAfterMs: stoppingRetryAfterMs,
		});
	}

	const queue = getQueue(runtime.getControl(), toBrand<QueueId>(params.queue ?? ''));
	if (queue === undefined) {
		return createFailure({
			status: 404, title: 'No such queue', reason: 'queueUnknown', ran: 'no',
		});
	}

	const team = authorizeTeam({runtime, queue, authorization: req.headers.authorization});
	if (!team.ok) {
		return team;
	}

	const headers = parseSubmission(req.headers);
	return headers.ok
		? createSuccess({queue, team: team.value, headers: headers.value})
		: createFailure({
			status: 400, title: 'The headers are not valid', reason: 'invalidHeaders', ran: 'no', findings: headers.err,
		});
};

/** Sets `ran` to `maybe` for a possible resend: the job may have run when the request was sent before. */
const adjustRanForResend = (problem: Problem, {req}: HttpExchange): Problem => {
	const isResendPossible = req.headers['idempotency-key'] !== undefined && req.headers['samphiremill-first-send'] !== 'true';
	return isResendPossible ? {...problem, ran: 'maybe'} : problem;
};

const createBodyProblem = (runtime: Runtime, err: ReadBodyError): Problem => {
	switch (err.type) {
		case 'tooLarge': {
			runtime.metrics.count('oversizedBodies');
			return {
				status: 413, title: `The body has more than ${err.maximumBytes} bytes`, reason: 'bodyTooLarge', ran: 'no',
			};
		}

		case 'truncated': {
			runtime.metrics.count('truncatedBodies');
			return {
				status: 400, title: 'The body ended early', reason: 'bodyTruncated', ran: 'no',
			};
		}

		case 'budgetFull': {
			return {
				status: 503, title: 'The memory for request bodies on this entry host is used up', reason: 'bodyBudgetFull', ran: 'no', retryAfterMs: budgetRetryAfterMs,
			};
		}
	}
};

const createSpec = ({runtime, job, admission: {queue, team, headers}, body}: {
	readonly runtime: Runtime;
	readonly job: JobId;
	readonly admission: Admission;
	readonly body: Uint8Array;
}): JobSpec => {
	const nowMs = runtime.timers.getNow();
	const {
		idempotencyKey, isFirstSend, deadlineMs, isIdempotent, urgency, declared,
	} = headers;
	return {
		job,
		queue: queue.id,
		pool: queue.pool,
		team,
		isFirstSend,
		bodyHash: createHash('sha256').update(body).digest('hex'),
		isIdempotent,
		urgency,
		submittedAtMs: nowMs,
		deadlineAtMs: toBrand<MonotonicMs>(nowMs + (deadlineMs ?? queue.defaultDeadlineMs)),
		...(idempotencyKey === undefined ? {} : {idempotencyKey}),
		...(declared === undefined ? {} : {declared}),
	};
};

/**
 * `POST /v1/queues/{queue}/jobs`: submits a job and keeps the connection open until its outcome.
 *
 * A refusal is a problem document with the field `ran`. If the caller closes the connection, the job is
 * cancelled.
 */
export function createSubmitJobRoute(runtime: Runtime): HttpRoute {
	const refuse = (exchange: HttpExchange, problem: Problem) => {
		runtime.metrics.count(problem.status === 401 ? 'unauthorizedRequests' : 'badRequests');
		runtime.log.info(`a submission is refused: ${problem.reason}`, {queue: exchange.params.queue, reason: problem.reason, status: problem.status});
		exchange.req.resume();
		exchange.res.setHeader('Connection', 'close');
		sendProblem(exchange.res, adjustRanForResend(problem, exchange));
	};

	return {
		method: 'POST',
		path: '/v1/queues/{queue}/jobs',
		async handle(exchange) {
			const {req, res} = exchange;
			const admission = admit(runtime, exchange);
			if (!admission.ok) {
				refuse(exchange, admission.err);
				return;
			}

			const maximumBytes = Math.min(admission.value.queue.maximumBodyBytes, runtime.settings.limits.maximumBodyBytes);
			const body = await readBody({req, maximumBytes, budget: runtime.bodyBudget});
			if (!body.ok) {
				refuse(exchange, createBodyProblem(runtime, body.err));
				return;
			}

			const job = runtime.createJobId();
			res.once('close', () => {
				if (!res.writableFinished) {
					runtime.dispatch({type: 'jobs/cancelRequested', job, nowMs: runtime.timers.getNow()});
				}
			});
			runtime.submit({
				spec: createSpec({
					runtime, job, admission: admission.value, body: body.value,
				}),
				body: body.value,
				contentType: req.headers['content-type'] ?? 'application/octet-stream',
				sink: createStreamingSink(res, job),
			});
		},
	};
}
