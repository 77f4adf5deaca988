/**
 * Holds the bodies and answers of this node's jobs. The reducer handles only the jobs' metadata.
 */
import {Buffer} from 'node:buffer';
import {
	toBrand, type JobId, type MonotonicMs, type TimerService,
} from '@samphiremill/common';
import {
	maximumStoredAnswerBytes, type JobOutcome, type JobsEffect, type KnownMinion, type NodeEffect, type NodeEvent, type NodeState, type StoredAnswer,
} from '@samphiremill/core';
import {
	getOrigin, reclaimSlot, type DispatchHandlers, type MinionClient, type RunningAttempt,
} from '../dispatch/index.js';
import type {BodyBudget} from '../http/read-body.js';
import type {Metrics, SubmittedJob} from './types.js';

/** Largest answer that is stored for resends, in bytes. Its base64 form is a third longer. */
const maximumStoredBodyBytes = Math.floor(maximumStoredAnswerBytes * 3 / 4);

type JobEntry = SubmittedJob & {
	/** Attempts whose task may still exist on a minion. */
	readonly attempts: ReadonlyMap<number, RunningAttempt>;
	readonly isFinished: boolean;
	/** The answer so far; empty if no key asks for it or it is too large to store. */
	readonly storedChunks: readonly Uint8Array[];
	readonly answerBytes: number;
	readonly answer: {readonly status: number; readonly contentType: string | undefined} | undefined;
	readonly replay: {readonly status: number; readonly answer: StoredAnswer | undefined} | undefined;
};

/** Executes the effects that concern bodies and answers. */
export type JobRegistry = {
	readonly add: (job: SubmittedJob) => void;
	readonly dispatchAttempt: (effect: Extract<JobsEffect, {readonly type: 'jobs/dispatch'}>) => void;
	readonly cancelAttempt: (effect: Extract<JobsEffect, {readonly type: 'jobs/cancelAttempt'}>) => void;
	readonly setReplay: (effect: Extract<NodeEffect, {readonly type: 'node/replay'}>) => void;
	readonly finish: (effect: Extract<JobsEffect, {readonly type: 'jobs/finish'}>) => void;
	readonly getOpenJobCount: () => number;
};

/** Creates an empty registry. Events from its attempts go to `dispatch`. */
export function createJobRegistry({client, timers, bodyBudget, metrics, getState, dispatch}: {
	readonly client: MinionClient;
	readonly timers: TimerService;
	readonly bodyBudget: BodyBudget;
	readonly metrics: Metrics;
	readonly getState: () => NodeState;
	readonly dispatch: (event: NodeEvent) => void;
}): JobRegistry {
	const entries = new Map<JobId, JobEntry>();

	const update = (job: JobId, change: Partial<JobEntry>) => {
		const entry = entries.get(job);
		if (entry !== undefined) {
			entries.set(job, {...entry, ...change});
		}
	};

	const removeIfDone = (job: JobId) => {
		const entry = entries.get(job);
		if (entry?.isFinished === true && entry.attempts.size === 0) {
			entries.delete(job);
		}
	};

	const endAttempt = (job: JobId, attempt: number, event: NodeEvent) => {
		const attempts = new Map(entries.get(job)?.attempts);
		attempts.delete(attempt);
		update(job, {attempts});
		dispatch(event);
		removeIfDone(job);
	};

	const storeChunk = (entry: JobEntry, chunk: Uint8Array) => {
		const answerBytes = entry.answerBytes + chunk.length;
		const isStored = entry.spec.idempotencyKey !== undefined && answerBytes <= maximumStoredBodyBytes;
		update(entry.spec.job, {answerBytes, storedChunks: isStored ? [...entry.storedChunks, chunk] : []});
	};

	const startReclaim = ({job, attempt}: {readonly job: JobId; readonly attempt: number}, knownMinion: KnownMinion) => {
		reclaimSlot({
			lost: {origin: getOrigin(knownMinion), job, attempt},
			timers,
			// The tasks of an incarnation do not survive it.
			shouldContinue: () => getState().membership.minions.entries.get(knownMinion.minion)?.incarnation === knownMinion.incarnation,
			onFreed() {
				dispatch({
					type: 'jobs/slotFreed', job, attempt, nowMs: timers.getNow(),
				});
			},
		});
	};

	const createHandlers = (job: JobId, attempt: number, knownMinion: KnownMinion): DispatchHandlers => {
		const reference = {job, attempt};
		const isAnswerOpen = () => entries.get(job)?.isFinished === false;
		return {
			onFirstByte() {
				dispatch({type: 'jobs/firstByteSent', ...reference, nowMs: timers.getNow()});
			},
			onAnswerStart(answer) {
				if (!isAnswerOpen()) {
					return;
				}

				update(job, {answer});
				dispatch({
					type: 'jobs/answerStarted', ...reference, status: answer.status, nowMs: timers.getNow(),
				});
				entries.get(job)?.sink.start(answer);
			},
			onAnswerData(chunk) {
				const entry = entries.get(job);
				if (entry === undefined || entry.isFinished) {
					return true;
				}

				storeChunk(entry, chunk);
				return entry.sink.write(chunk, () => {
					entry.attempts.get(attempt)?.resume();
				});
			},
			onAnswerEnd() {
				const status = entries.get(job)?.answer?.status ?? 0;
				endAttempt(job, attempt, {
					type: 'jobs/answered', ...reference, status, nowMs: timers.getNow(),
				});
			},
			onFailure({kind, bytesSent}) {
				endAttempt(job, attempt, {
					type: 'jobs/attemptFailed', ...reference, kind, bytesSent, nowMs: timers.getNow(),
				});
				if (bytesSent && kind !== 'stopped') {
					startReclaim(reference, knownMinion);
				}
			},
		};
	};

	const getStoredAnswer = (entry: JobEntry): StoredAnswer | undefined =>
		entry.answerBytes > maximumStoredBodyBytes
			? undefined
			: {contentType: entry.answer?.contentType ?? '', bodyBase64: Buffer.concat(entry.storedChunks).toString('base64')};

	const respondToCaller = (entry: JobEntry, outcome: JobOutcome) => {
		if (entry.replay !== undefined && outcome.type === 'answered') {
			metrics.count('jobsReplayed');
			entry.sink.replay(entry.replay);
			return;
		}

		if (outcome.type === 'answered') {
			metrics.count('jobsAnswered');
			entry.sink.end();
			return;
		}

		metrics.count('jobsRefused');
		entry.sink.refuse(outcome);
	};

	return {
		add(job) {
			entries.set(job.spec.job, {
				...job, attempts: new Map(), isFinished: false, storedChunks: [], answerBytes: 0, answer: undefined, replay: undefined,
			});
		},
		dispatchAttempt({job, attempt, minion, deadlineAtMs}) {
			const entry = entries.get(job);
			const knownMinion = getState().membership.minions.entries.get(minion);
			const fail = () => {
				dispatch({
					type: 'jobs/attemptFailed', job, attempt, kind: 'connectRefused', bytesSent: false, nowMs: timers.getNow(),
				});
			};

			if (entry === undefined || knownMinion === undefined) {
				fail();
				return;
			}

			const {spec, body, contentType} = entry;
			const running = client.dispatch({
				job,
				attempt,
				minion,
				host: knownMinion.host,
				port: knownMinion.port,
				queue: spec.queue,
				team: spec.team,
				deadlineAtMs: toBrand<MonotonicMs>(deadlineAtMs),
				isIdempotent: spec.isIdempotent,
				contentType,
				body,
				maximumConnections: knownMinion.slots,
			}, createHandlers(job, attempt, knownMinion));
			update(job, {attempts: new Map([...entry.attempts, [attempt, running]])});
		},
		cancelAttempt({job, attempt}) {
			entries.get(job)?.attempts.get(attempt)?.cancel();
		},
		setReplay({job, answer}) {
			const status = answer.outcome.type === 'answered' ? answer.outcome.status : 0;
			update(job, {replay: {status, answer: answer.answer}});
		},
		finish({spec, outcome}) {
			const entry = entries.get(spec.job);
			if (entry === undefined) {
				return;
			}

			update(spec.job, {isFinished: true});
			respondToCaller(entry, outcome);
			bodyBudget.release(entry.body.length);
			metrics.recordJob({queue: spec.queue, outcome: outcome.type, durationMs: timers.getNow() - spec.submittedAtMs});
			const answer = outcome.type === 'answered' ? getStoredAnswer(entry) : undefined;
			dispatch({
				type: 'claims/ended', job: spec.job, outcome, ...(answer === undefined ? {} : {answer}), nowMs: timers.getNow(),
			});
			removeIfDone(spec.job);
		},
		getOpenJobCount: () => [...entries.values()].filter(({isFinished}) => !isFinished).length,
	};
}
