/**
 * Calls to minions that get no answer, in a simulation whose test decides which.
 */
import type {TestWorld} from './test-world.js';

const answerTimeoutMs = 450;
const stepMs = 10;

/** The lost answers of one simulation. */
export type LostAnswers = {
	/** Resolves without an answer once the caller's timeout is over. */
	readonly lose: () => Promise<{readonly type: 'noAnswer'}>;
	/** Advances the simulation, and ends the calls whose timeout is over. */
	readonly advance: (world: TestWorld, durationMs: number) => Promise<void>;
	/** Returns the time up to which the simulation was advanced. */
	readonly getNow: () => number;
};

/** Creates the lost answers; none is pending. */
export function createLostAnswers(): LostAnswers {
	let pauses: Array<{readonly untilMs: number; readonly resolve: () => void}> = [];
	let nowMs = 0;

	const endDuePauses = (): void => {
		const due = pauses.filter(({untilMs}) => untilMs <= nowMs);
		pauses = pauses.filter(({untilMs}) => untilMs > nowMs);
		for (const {resolve} of due) {
			resolve();
		}
	};

	return {
		async lose() {
			await new Promise<void>(resolve => {
				pauses.push({untilMs: nowMs + answerTimeoutMs, resolve});
			});
			return {type: 'noAnswer'};
		},
		async advance(world, durationMs) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				await world.advance(stepMs); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
				nowMs = world.getNow();
				endDuePauses();
			}
		},
		getNow: () => nowMs,
	};
}
