/**
 * The bodies and answers of this node's jobs, which the reducer does not see.
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

/** The most bytes of an answer that are kept for resends; base64 takes a third more. */
const maximumStoredBodyBytes = Math.floor(maximumStoredAnswerBytes * 3 / 4);

type JobEntry = SubmittedJob & {
	/** Attempts whose task may still be on a minion. */
	readonly attempts: ReadonlyMap<number, RunningAttempt>;
	readonly isFinished: boolean;
	readonly storedChunks: readonly Uint8Array[];
	readonly answerBytes: number;
	readonly answer: {readonly status: number; readonly contentType: string | undefined} | undefined;
	readonly replay: {readonly status: number; readonly answer: StoredAnswer | undefined} | undefined;
};

/** Carries out the effects that concern bodies and answers. */
export type JobRegistry = {
	readonly add: (job: SubmittedJob) => void;
	readonly dispatchAttempt: (effect: Extract<JobsEffect, {readonly type: 'jobs/dispatch'}>) => void;
	readonly cancelAttempt: (effect: Extract<JobsEffect, {readonly type: 'jobs/cancelAttempt'}>) => void;
	readonly setReplay: (effect: Extract<NodeEffect, {readonly type: 'node/replay'}>) => void;
	readonly finish: (effect: Extract<JobsEffect, {readonly type: 'jobs/finish'}>) => void;
	readonly getOpenJobCount: () => number;
};

/**
 * @param options - The client towards minions, what the registry reads and where its events go.
 * @returns An empty registry.
 */
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
		const keptBytes = entry.answerBytes + chunk.length;
		const isStored = entry.spec.idempotencyKey !== undefined && keptBytes <= maximumStoredBodyBytes;
		update(entry.spec.job, {answerBytes: keptBytes, storedChunks: isStored ? [...entry.storedChunks, chunk] : []});
	};

	const startReclaim = ({job, attempt}: {readonly job: JobId; readonly attempt: number}, known: KnownMinion) => {
		reclaimSlot({
			lost: {origin: getOrigin(known), job, attempt},
			timers,
			// A new incarnation has nothing left of the old one's tasks.
			isWorthAsking: () => getState().membership.minions.entries.get(known.minion)?.incarnation === known.incarnation,
			onFreed() {
				dispatch({
					type: 'jobs/slotFreed', job, attempt, nowMs: timers.getNow(),
				});
			},
		});
	};

	const createHandlers = (job: JobId, attempt: number, known: KnownMinion): DispatchHandlers => {
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
					startReclaim(reference, known);
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
			const known = getState().membership.minions.entries.get(minion);
			const fail = () => {
				dispatch({
					type: 'jobs/attemptFailed', job, attempt, kind: 'connectRefused', bytesSent: false, nowMs: timers.getNow(),
				});
			};

			if (entry === undefined || known === undefined) {
				fail();
				return;
			}

			const {spec, body, contentType} = entry;
			const running = client.dispatch({
				job,
				attempt,
				minion,
				host: known.host,
				port: known.port,
				queue: spec.queue,
				team: spec.team,
				deadlineAtMs: toBrand<MonotonicMs>(deadlineAtMs),
				isIdempotent: spec.isIdempotent,
				contentType,
				body,
				maximumConnections: known.slots,
			}, createHandlers(job, attempt, known));
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
