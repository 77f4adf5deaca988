import type {MovesConfig} from './types.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;

/** When hosts are lent and taken back where the settings name nothing else. */
export const defaultMovesConfig: MovesConfig = {
	smoothingMs: minuteMs,
	lendAbove: 0.85,
	takeBackBelow: 0.6,
	lendHoldMs: 30 * secondMs,
	takeBackHoldMs: 5 * minuteMs,
	maximumMovesInFlight: 2,
	reserveHosts: 1,
	leaseWaitMs: 3 * secondMs,
	slotsPerHost: 8,
};
