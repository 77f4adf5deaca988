import type {WavesConfig} from './types.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;

/** The limits that apply when the settings specify none. */
export const defaultWavesConfig: WavesConfig = {
	maximumHostsAsideFleetWide: 7,
	correlatedFailureCount: 2,
	correlatedFailureWindow: 10,
	soakMs: 10 * minuteMs,
	rebootTimeoutMs: 15 * minuteMs,
	expectedCycleMs: 5 * minuteMs,
};
