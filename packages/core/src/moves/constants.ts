import type {MovesConfig} from './types.js';

const secondMs = 1000;

/** The defaults for lending hosts and taking them back. */
export const defaultMovesConfig: MovesConfig = {
	smoothingMs: 10 * secondMs,
	lendAbove: 0.85,
	takeBackBelow: 0.6,
	lendHoldMs: 30 * secondMs,
	takeBackHoldMs: 30 * secondMs,
	maximumMovesInFlight: 2,
	reserveHosts: 1,
	leaseWaitMs: 3 * secondMs,
	slotsPerHost: 8,
};
