/**
 * Caches the tickets of the advice service: requested once per step and kept until they expire.
 */
import type {MinionId, TimerService} from '@samphiremill/common';
import type {
	IncarnationId, MinionRecord, ReadyStep, Ticket,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {
	maximumAdvisedMinions, adviceRetryDelayMs, adviceTimeoutMarginMs, ticketExpiryMarginMs,
} from './constants.js';
import type {AdvicePort, AdvisedMinion} from './types.js';

type StepAdvice = {
	readonly tickets: ReadonlyMap<IncarnationId, Ticket>;
	readonly validUntilMs: number;
	readonly isPending: boolean;
	readonly retryAtMs: number;
};

/** Tickets by step and incarnation of a minion. */
export type AdviceCache = {
	/** Whether a step may run on an incarnation now. Requests advice in the background if none is valid. */
	readonly isAllowed: (step: ReadyStep, life: IncarnationId) => boolean;
	readonly getTicket: (step: string, life: IncarnationId) => Ticket | undefined;
	/** Drops a ticket that a minion rejected. */
	readonly dropTicket: (step: string, life: IncarnationId) => void;
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
 * @param options - `onTicketsReceived` is called after each answer of the advice service, also an empty or failed one.
 */
export function createAdviceCache({advice, timers, log, listMinions, onTicketsReceived}: {
	readonly advice: AdvicePort;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly listMinions: (pool: MinionRecord['pool']) => readonly MinionRecord[];
	readonly onTicketsReceived: () => void;
}): AdviceCache {
	const steps = new Map<string, StepAdvice>();

	const toTickets = (asked: readonly MinionRecord[], advised: readonly AdvisedMinion[]) => {
		const incarnationsByMinion = new Map<MinionId, IncarnationId>(asked.map(({minion, life}) => [minion, life]));
		return new Map(advised.flatMap(({minion, ticket}) => {
			const life = incarnationsByMinion.get(minion);
			return life === undefined ? [] : [[life, ticket] as const];
		}));
	};

	const requestAdvice = async (id: string, {job}: ReadyStep) => {
		const asked = listMinions(job.pool).slice(0, maximumAdvisedMinions);
		const policy = job.advice;
		if (policy === undefined || asked.length === 0) {
			return;
		}

		steps.set(id, {
			tickets: new Map(), validUntilMs: 0, isPending: true, retryAtMs: 0,
		});
		const requestedAtMs = timers.getNow();
		const timeoutMs = policy.decisionMs + (policy.perWorkerMs * asked.length) + adviceTimeoutMarginMs;
		const result = await advice.advise({step: id, minions: asked.map(({minion}) => minion), timeoutMs});
		const tickets = result.ok ? toTickets(asked, result.value) : new Map<IncarnationId, Ticket>();
		log.info(`advice for step ${id}: ${result.ok ? `${tickets.size} of ${asked.length} minions` : result.err}`, {
			id: job.id, step: id, askedMinions: asked.length, allowedMinions: tickets.size, tookMs: Math.round(timers.getNow() - requestedAtMs),
		});
		steps.set(id, {
			tickets,
			validUntilMs: requestedAtMs + policy.validityMs - ticketExpiryMarginMs,
			isPending: false,
			retryAtMs: timers.getNow() + adviceRetryDelayMs,
		});
		onTicketsReceived();
	};

	return {
		isAllowed(step, life) {
			if (step.job.advice === undefined) {
				return true;
			}

			const id = createStepId(step);
			const known = steps.get(id);
			const nowMs = timers.getNow();
			const isValid = known !== undefined && nowMs < known.validUntilMs && known.tickets.size > 0;
			if (!isValid && !known?.isPending && nowMs >= (known?.retryAtMs ?? 0)) {
				void requestAdvice(id, step);
			}

			return isValid && known.tickets.has(life);
		},
		forgetSteps(hasEnded) {
			for (const [step, {isPending}] of steps) {
				if (!isPending && hasEnded(step)) {
					steps.delete(step);
				}
			}
		},
		getTicket: (step, life) => steps.get(step)?.tickets.get(life),
		dropTicket(step, life) {
			const known = steps.get(step);
			if (known !== undefined) {
				steps.set(step, {...known, tickets: new Map([...known.tickets].filter(([other]) => other !== life))});
			}
		},
	};
}
