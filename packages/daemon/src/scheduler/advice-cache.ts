/**
 * Caches the answers of the advice service by step and incarnation of a minion. Each answer is kept until it expires.
 * A request names the minions that a plan lacked an answer on, and others of the pool as far as there is room.
 */
import type {MinionId, TimerService} from '@samphiremill/common';
import type {
	CompareReadySteps, IncarnationId, MinionRecord, ReadyStep, Ticket,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {createAdviceTurns} from './advice-turns.js';
import {
	additionalAdviceDelayMs, adviceRetryDelayMs, maximumAdvisedMinions, ticketExpiryMarginMs,
} from './constants.js';
import type {AdvicePort, AdvisedMinion} from './types.js';

type Answer = {
	/** Undefined if the minion must not run the step. */
	readonly ticket: Ticket | undefined;
	readonly validUntilMs: number;
};

type StepAdvice = {
	readonly answers: ReadonlyMap<IncarnationId, Answer>;
	/** When each incarnation was last asked about, also without success. */
	readonly askedAtMs: ReadonlyMap<IncarnationId, number>;
	readonly isPending: boolean;
	/** No request before this time. */
	readonly retryAtMs: number;
	/** When advice was last received. */
	readonly receivedAtMs: number;
};

const noAdvice: StepAdvice = {
	answers: new Map(), askedAtMs: new Map(), isPending: false, retryAtMs: 0, receivedAtMs: 0,
};

/** What one plan of starts asked about a step. */
type Inquiry = {
	readonly step: ReadyStep;
	/** Incarnations without a valid answer. */
	readonly unanswered: Set<IncarnationId>;
	isAnyAllowed: boolean;
};

/** Tickets by step and incarnation of a minion. */
export type AdviceCache = {
	/** Whether a step may run on an incarnation now. Advice that a plan lacks is requested in the background once the plan is made. */
	readonly isAllowed: (step: ReadyStep, life: IncarnationId) => boolean;
	/** Whether a valid ticket is known. Requests nothing. */
	readonly isKnownAllowed: (step: ReadyStep, life: IncarnationId) => boolean;
	readonly getTicket: (step: string, life: IncarnationId) => Ticket | undefined;
	/** Drops a ticket that a minion rejected. */
	readonly dropTicket: (step: string, life: IncarnationId) => void;
	/** Returns how long the service takes for the calls under way and the steps that wait for a call, in milliseconds. */
	readonly getWaitMs: () => number;
	/** Drops the advice on steps that have ended. */
	readonly forgetSteps: (hasEnded: (step: string) => boolean) => void;
};

/** Returns the id of a step of an occurrence, in the form `JOB.OCCURRENCE.STEP`. */
export function createStepId({job, occurrence, step}: {readonly job: {readonly id: string}; readonly occurrence: number; readonly step: number}): string {
	return `${job.id}.${occurrence}.${step}`;
}

/**
 * Creates an empty cache.
 *
 * @param options - `compareSteps` orders the steps that wait for advice. `onTicketsReceived` is called after each answer of the advice service, also
 * an empty or failed one, and after each pause: what waits is asked about by the next plan.
 */
export function createAdviceCache({advice, timers, log, listMinions, compareSteps, onTicketsReceived}: {
	readonly advice: AdvicePort;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly listMinions: (pool: MinionRecord['pool']) => readonly MinionRecord[];
	readonly compareSteps: CompareReadySteps;
	readonly onTicketsReceived: () => void;
}): AdviceCache {
	const steps = new Map<string, StepAdvice>();
	const inquiries = new Map<string, Inquiry>();
	const turns = createAdviceTurns({advice, timers, onTurn: onTicketsReceived});

	const getAdvice = (id: string): StepAdvice => steps.get(id) ?? noAdvice;

	const findAnswer = (id: string, life: IncarnationId): Answer | undefined => {
		const answer = getAdvice(id).answers.get(life);
		return answer !== undefined && timers.getNow() < answer.validUntilMs ? answer : undefined;
	};

	// Incarnations that the plan could have used come first, then those that were not asked about for longest.
	const chooseMinions = (id: string, {step, unanswered}: Inquiry): readonly MinionRecord[] => {
		const {askedAtMs} = getAdvice(id);
		const getAskedAtMs = ({life}: MinionRecord) => askedAtMs.get(life) ?? 0;
		return listMinions(step.job.pool)
			.filter(({life}) => findAnswer(id, life) === undefined)
			.toSorted((left, right) => Number(unanswered.has(right.life)) - Number(unanswered.has(left.life)) || getAskedAtMs(left) - getAskedAtMs(right))
			.slice(0, maximumAdvisedMinions);
	};

	const toAnswers = (asked: readonly MinionRecord[], advised: readonly AdvisedMinion[], validUntilMs: number): ReadonlyMap<IncarnationId, Answer> => {
		const tickets = new Map<MinionId, Ticket>(advised.map(({minion, ticket}) => [minion, ticket]));
		return new Map(asked.map(({minion, life}) => [life, {ticket: tickets.get(minion), validUntilMs}]));
	};

	const retainPresent = <Value>(values: ReadonlyMap<IncarnationId, Value>, pool: MinionRecord['pool']): ReadonlyMap<IncarnationId, Value> => {
		const present = new Set(listMinions(pool).map(({life}) => life));
		return new Map([...values].filter(([life]) => present.has(life)));
	};

	const requestAdvice = async (id: string, inquiry: Inquiry, waitingCount: number) => {
		const {job} = inquiry.step;
		const asked = chooseMinions(id, inquiry);
		const policy = job.advice;
		if (policy === undefined || asked.length === 0) {
			return;
		}

		const known = getAdvice(id);
		const requestedAtMs = timers.getNow();
		steps.set(id, {
			...known,
			askedAtMs: new Map([...retainPresent(known.askedAtMs, job.pool), ...asked.map(({life}) => [life, requestedAtMs] as const)]),
			isPending: true,
		});
		const announcedMs = policy.decisionMs + (policy.perWorkerMs * asked.length);
		const result = await turns.call({step: id, minions: asked.map(({minion}) => minion), announcedMs});
		const nowMs = timers.getNow();
		// The call may have waited at the service before it had its turn there.
		const validUntilMs = Math.max(requestedAtMs, nowMs - announcedMs) + policy.validityMs - ticketExpiryMarginMs;
		log.info(`advice for step ${id}: ${result.ok ? `${result.value.length} of ${asked.length} minions` : result.err}`, {
			id: job.id, step: id, askedMinions: asked.length, allowedMinions: result.ok ? result.value.length : 0, tookMs: Math.round(nowMs - requestedAtMs), announcedMs, waitingSteps: waitingCount - 1,
		});
		// A ticket may have been dropped in the meantime.
		const latest = getAdvice(id);
		steps.set(id, {
			answers: new Map([...retainPresent(latest.answers, job.pool), ...result.ok ? toAnswers(asked, result.value, validUntilMs) : []]),
			askedAtMs: latest.askedAtMs,
			isPending: false,
			retryAtMs: result.ok && nowMs < validUntilMs ? nowMs : nowMs + adviceRetryDelayMs,
			receivedAtMs: result.ok ? nowMs : latest.receivedAtMs,
		});
		onTicketsReceived();
	};

	// A plan that found an allowed minion has started a task of the step. More advice is then requested only now and then,
	// since each request takes time of the service. A gang may have found some of its minions and still lack others.
	const isAdviceNeeded = (id: string, {step, unanswered, isAnyAllowed}: Inquiry) => {
		const {isPending, retryAtMs, receivedAtMs} = getAdvice(id);
		const nowMs = timers.getNow();
		return unanswered.size > 0 && !isPending && nowMs >= retryAtMs
			&& (!isAnyAllowed || step.specification.isGang || nowMs - receivedAtMs >= additionalAdviceDelayMs);
	};

	/** The steps that had no turn when a plan last asked, and that no minion may run yet. */
	let waitingSteps: readonly ReadyStep[] = [];

	// A step that no minion may run yet comes before one that only lacks more of them.
	const compareInquiries = (left: Inquiry, right: Inquiry) => Number(left.isAnyAllowed) - Number(right.isAnyAllowed) || compareSteps(left.step, right.step);

	// What has no turn is asked about again by the plan that follows the next answer.
	const requestMissingAdvice = () => {
		const waiting = [...inquiries].filter(([id, inquiry]) => isAdviceNeeded(id, inquiry)).toSorted(([, left], [, right]) => compareInquiries(left, right));
		inquiries.clear();
		let sent = 0;
		for (const [id, inquiry] of waiting) {
			if (!turns.hasTurn()) {
				break;
			}

			sent += 1;
			void requestAdvice(id, inquiry, waiting.length);
		}

		waitingSteps = waiting.slice(sent).filter(([, {isAnyAllowed}]) => !isAnyAllowed).map(([, {step}]) => step);
	};

	const getAnnouncedMs = ({job: {advice: policy, pool}}: ReadyStep) =>
		policy === undefined ? 0 : policy.decisionMs + (policy.perWorkerMs * Math.min(maximumAdvisedMinions, listMinions(pool).length));

	// A plan is made without interruption, so all its questions have been recorded when the microtask runs.
	const getInquiry = (id: string, step: ReadyStep): Inquiry => {
		const known = inquiries.get(id);
		if (known !== undefined) {
			return known;
		}

		if (inquiries.size === 0) {
			queueMicrotask(requestMissingAdvice);
		}

		const created: Inquiry = {step, unanswered: new Set(), isAnyAllowed: false};
		inquiries.set(id, created);
		return created;
	};

	return {
		isAllowed(step, life) {
			if (step.job.advice === undefined) {
				return true;
			}

			const id = createStepId(step);
			const inquiry = getInquiry(id, step);
			const answer = findAnswer(id, life);
			if (answer === undefined) {
				inquiry.unanswered.add(life);
				return false;
			}

			const isAllowed = answer.ticket !== undefined;
			inquiry.isAnyAllowed ||= isAllowed;
			return isAllowed;
		},
		isKnownAllowed: (step, life) => step.job.advice === undefined || findAnswer(createStepId(step), life)?.ticket !== undefined,
		forgetSteps(hasEnded) {
			for (const [step, {isPending}] of steps) {
				if (!isPending && hasEnded(step)) {
					steps.delete(step);
				}
			}
		},
		getWaitMs: () => turns.getWaitMs(waitingSteps.reduce((sum, step) => sum + getAnnouncedMs(step), 0)),
		getTicket: (step, life) => steps.get(step)?.answers.get(life)?.ticket,
		dropTicket(step, life) {
			const known = steps.get(step);
			if (known !== undefined) {
				// The minion is asked about again after a delay, so that a rejected ticket causes no tight loop of requests.
				const rejected: Answer = {ticket: undefined, validUntilMs: timers.getNow() + additionalAdviceDelayMs};
				steps.set(step, {...known, answers: new Map([...known.answers, [life, rejected]])});
			}
		},
	};
}
