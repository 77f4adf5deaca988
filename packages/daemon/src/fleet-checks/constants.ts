import type {CheckLimits} from './types.js';

/** The bounds that hold unless others are given. */
export const defaultLimits: CheckLimits = {
	earlyMs: 0,
	cancelMs: 3000,
	stopMs: 900,
	drainMs: 2000,
	configurationMs: 2000,
	copyMs: 1000,
	absenceNoticeMs: 4500,
	orderLeaseMs: 3000,
	contactMs: 3000,
};

/** How many copies of a task may run at once. */
export const maximumCopies = 2;

/** How many crashes of minions, and how many starts after them, a task may have before it has to be given up. */
export const crashBudget = 3;
