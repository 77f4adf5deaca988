/**
 * The simulated advice service.
 */
import {
	createFailure, createSeededRandom, createSuccess, toBrand, type MinionId,
} from '@samphiremill/common';
import type {Ticket} from '@samphiremill/core';
import type {AdvicePort} from '../types.js';
import type {Simulation} from './simulation.js';

/** How long the service takes for an answer, in milliseconds. */
const decisionMs = 20;

/** The advice service of a simulation. */
export type FakeAdviceService = AdvicePort & {
	/** Whether the service allows the step on the minion. */
	readonly isApproved: (step: string, minion: MinionId) => boolean;
};

/**
 * Creates the advice service of a simulation.
 *
 * @param simulation - The shared state.
 * @returns The service.
 */
export function createFakeAdviceService(simulation: Simulation): FakeAdviceService {
	const {seed, approvalChance} = simulation.settings;

	/** An approval is as likely as the chance says, and the same whenever it is asked for. */
	const isApproved = (step: string, minion: MinionId) => {
		let hash = seed;
		for (const character of `${step} ${minion}`) {
			hash = ((hash * 31) + (character.codePointAt(0) ?? 0)) % 1_000_003;
		}

		return approvalChance === 1 || createSeededRandom(hash)() < approvalChance;
	};

	return {
		isApproved,
		async advise({step, minions: asked}) {
			await simulation.pause(decisionMs);
			if (simulation.random() < simulation.getLossChance()) {
				return createFailure('busy' as const);
			}

			const advised = asked.filter(minion => isApproved(step, minion)).map(minion => ({minion, ticket: toBrand<Ticket>(`t-${minion}`)}));
			for (const {minion, ticket} of advised) {
				simulation.checks.record({
					type: 'ticketIssued', step, minion, ticket,
				});
			}

			return createSuccess(advised);
		},
	};
}
