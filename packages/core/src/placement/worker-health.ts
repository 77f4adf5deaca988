/**
 * Ejects workers on which jobs keep failing, and readmits them through probes with one job at a time.
 */

import {assertNever} from '@samphiremill/common';

/** The health of a worker. Times are in milliseconds. */
export type WorkerHealth
	= | {readonly type: 'healthy'; readonly failuresInRow: number}
		/** The worker gets no jobs until `untilMs`, when it may be probed. */
		| {
			readonly type: 'ejected';
			readonly failuresInRow: number;
			readonly untilMs: number;
			readonly ejections: number;
		}
		/** The worker gets one job at a time. Success makes it healthy again, failure ejects it again. */
		| {readonly type: 'probing'; readonly failuresInRow: number; readonly ejections: number};

/** When a worker is ejected, and for how long. */
export type WorkerHealthCfg = {
	/** The number of consecutive failures after which a worker is ejected. */
	readonly ejectionFailures: number;
	/** The length of the first ejection. Each further one is twice as long as the one before. */
	readonly ejectionBaseMs: number;
	readonly ejectionMaximumMs: number;
};

/** The health of a worker without failures. */
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
 * Returns the health of a worker after one more failure.
 *
 * @param options - `canSpare` says whether the pool can do without the worker; if not, a healthy worker is not ejected.
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

/** Returns the health of a worker after a success. A late success does not end an ejection; that of a probe does. */
export function recordWorkerSuccess(health: WorkerHealth): WorkerHealth {
	return health.type === 'ejected' ? health : healthyWorker;
}

/** Turns an ejection into a probe once it has lasted long enough. */
export function startDueProbe(health: WorkerHealth, nowMs: number): WorkerHealth {
	if (health.type !== 'ejected' || nowMs < health.untilMs) {
		return health;
	}

	return {type: 'probing', failuresInRow: health.failuresInRow, ejections: health.ejections};
}

/**
 * Returns whether a worker may get one more job.
 *
 * @param runningCount - How many jobs this node runs on the worker.
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
