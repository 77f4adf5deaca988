/**
 * Starts that get no answer and reach their minion only when a test says so.
 */
import type {TestWorld} from './test-world.js';
import type {MinionPort} from './types.js';

type StartOrder = Parameters<MinionPort['start']>[0];

const faultyMinion = 'i-1';
const answerTimeoutMs = 450;
const stepMs = 5;

/** The kept starts of one simulation, in the order in which they were sent. */
export type StartHold = {
	readonly alterPort: (port: MinionPort) => MinionPort;
	readonly kept: readonly StartOrder[];
	readonly setHolding: (isOn: boolean) => void;
	/** Advances the simulation, and ends the calls whose timeout is over. */
	readonly advance: (world: TestWorld, durationMs: number) => Promise<void>;
	readonly deliver: (order: StartOrder | undefined) => void;
};

/** Keeps the starts that are sent to the first minion while it holds them; each gets no answer, and reaches the minion only once it is delivered. */
export function createStartHold(): StartHold {
	const kept: StartOrder[] = [];
	let port: MinionPort | undefined;
	let isHolding = false;
	let getNow = () => 0;
	let waiting: Array<{readonly untilMs: number; readonly resolve: () => void}> = [];

	const alterPort = (original: MinionPort): MinionPort => {
		port = original;
		return {
			...original,
			async start(order) {
				if (!isHolding || order.target.minion !== faultyMinion) {
					return original.start(order);
				}

				kept.push(order);
				await new Promise<void>(resolve => {
					waiting.push({untilMs: getNow() + answerTimeoutMs, resolve});
				});
				return {type: 'noAnswer'};
			},
		};
	};

	return {
		alterPort,
		kept,
		setHolding(isOn: boolean) {
			isHolding = isOn;
		},
		async advance(world: TestWorld, durationMs: number) {
			getNow = world.getNow;
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				await world.advance(stepMs); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
				const due = waiting.filter(({untilMs}) => untilMs <= world.getNow());
				waiting = waiting.filter(({untilMs}) => untilMs > world.getNow());
				for (const {resolve} of due) {
					resolve();
				}
			}
		},
		deliver(order: StartOrder | undefined) {
			if (order !== undefined) {
				void port?.start(order);
			}
		},
	};
}
