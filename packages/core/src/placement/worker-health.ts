/**
 * Takes a worker out that fails what it is given, and lets it back through bounded probes.
 */

import {assertNever} from '@samphiremill/common';

/** How a worker fares. Times are in milliseconds. */
export type WorkerHealth
	= | {readonly type: 'healthy'; readonly failuresInRow: number}
		/** Gets no work until the time has come for a probe. */
		| {
			readonly type: 'ejected';
			readonly failuresInRow: number;
			readonly untilMs: number;
			readonly ejections: number;
		}
		/** Gets one job at a time until one succeeds or fails. */
		| {readonly type: 'probing'; readonly failuresInRow: number; readonly ejections: number};

/** When to take a worker out, and for how long. */
export type WorkerHealthCfg = {
	/** Failures in a row that take a worker out. */
	readonly ejectionFailures: number;
	/** How long the first ejection lasts; each further one lasts twice as long. */
	readonly ejectionBaseMs: number;
	readonly ejectionMaximumMs: number;
};

/** A worker of which nothing bad is known. */
export const healthyWorker: WorkerHealth = {type: 'healthy', failuresInRow: 0};

function createEjection(health: WorkerHealth, nowMs: number, cfg: WorkerHealthCfg): WorkerHealth {
	const ejections = health.type === 'healthy' ? 0 : health.ejections;
	const durationMs = Math.min(cfg.ejectionMaximumMs, cfg.ejectionBaseMs * (2 ** ejections));
	return {
		type: 'ejected',
		failuresInRow: health.failuresInRow + 1,
		untilMs: nowMs + durationMs,
		ejections: ejections + 1,
	};
}

/**
 * @param options - The worker's health, the time in milliseconds, whether the pool can spare the
 * worker, and the bounds.
 * @returns The health after one more failure.
 */
export function recordWorkerFailure(options: {
	readonly health: WorkerHealth;
	readonly nowMs: number;
	readonly canSpare: boolean;
	readonly cfg: WorkerHealthCfg;
}): WorkerHealth {
	const {health, nowMs, canSpare, cfg} = options;
	if (health.type === 'ejected') {
		return {...health, failuresInRow: health.failuresInRow + 1};
	}

	const isThresholdReached = health.failuresInRow + 1 >= cfg.ejectionFailures;
	if (health.type === 'probing' || (isThresholdReached && canSpare)) {
		return createEjection(health, nowMs, cfg);
	}

	return {...health, failuresInRow: health.failuresInRow + 1};
}

/**
 * @param health - The worker's health.
 * @returns The health after a success: late ones do not end an ejection, a probe's does.
 */
export function recordWorkerSuccess(health: WorkerHealth): WorkerHealth {
	return health.type === 'ejected' ? health : healthyWorker;
}

/**
 * @param health - The worker's health.
 * @param nowMs - The time in milliseconds.
 * @returns The health with an ejection that has lasted long enough turned into a probe.
 */
export function startDueProbe(health: WorkerHealth, nowMs: number): WorkerHealth {
	if (health.type !== 'ejected' || nowMs < health.untilMs) {
		return health;
	}

	return {type: 'probing', failuresInRow: health.failuresInRow, ejections: health.ejections};
}

/**
 * @param health - The worker's health.
 * @param runningCount - How many jobs this node has on the worker.
 * @returns Whether the worker may get one more job.
 */
export function canTakeJob(health: WorkerHealth, runningCount: number): boolean {
	switch (health.type) {
		case 'healthy': {
			return true;
		}

		case 'probing': {
			return runningCount === 0;
		}

		case 'ejected': {
			return false;
		}

		default: {
			return assertNever(health);
		}
	}
}
