import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {JobId} from '@samphiremill/common';
import {createRefusalProblem} from '../../runtime/refusals.js';
import type {AnswerSink} from '../../runtime/types.js';
import {sendProblem} from '../problem.js';

/**
 * Creates a sink that streams a job's answer to the waiting caller. If an answer ends early, the connection
 * is closed, so that the caller cannot mistake a part for the complete answer. The job's id is sent in the
 * `Samphiremill-Job` header.
 */
export function createStreamingSink(res: ServerResponse, job: JobId): AnswerSink {
	res.setHeader('Samphiremill-Job', job);
	return {
		start({status, contentType}) {
			if (!res.headersSent && !res.destroyed) {
				res.writeHead(status, contentType === undefined ? {} : {'Content-Type': contentType});
			}
		},
		write(chunk, resume) {
			if (res.destroyed) {
				return true;
			}

			const canTakeMore = res.write(chunk);
			if (!canTakeMore) {
				res.once('drain', resume);
			}

			return canTakeMore;
		},
		end() {
			res.end();
		},
		refuse(outcome) {
			if (res.headersSent) {
				res.destroy();
				return;
			}

			sendProblem(res, createRefusalProblem(outcome));
		},
		replay({status, answer}) {
			if (answer === undefined) {
				sendProblem(res, {
					status: 410, title: 'The job ran, but its answer is no longer stored', reason: 'answerNotKept', ran: 'yes',
				});
				return;
			}

			const body = Buffer.from(answer.bodyBase64, 'base64');
			res.writeHead(status, {
				'Content-Type': answer.contentType, 'Content-Length': body.length, 'Samphiremill-Replayed': 'true',
			});
			res.end(body);
		},
	};
}
