/**
 * Tracks since when this host knows that a job has ended, on its own monotonic clock. A job whose end came with a wrong time of
 * day, or is compared with one, would be forgotten too soon or kept for too long.
 */
import type {JobId, TimerService} from '@samphiremill/common';
import {listReleasedJobs, type Job, type Ledger} from '@samphiremill/core';

/** The ended jobs of the ledger, and when this host learnt of their ends. */
export type EndedJobs = {
	/** Notes the jobs that have ended since the last call. */
	readonly update: () => void;
	/** Notes new ends, and lists the jobs that have been known as ended for longer than the retention time, in milliseconds. */
	readonly listExpired: (retentionMs: number) => readonly JobId[];
};

/** Creates an empty record. Ends from before the first update count as learnt then. */
export function createEndedJobs({timers, getLedger}: {readonly timers: Pick<TimerService, 'getNow'>; readonly getLedger: () => Ledger}): EndedJobs {
	const learntAtMs = new WeakMap<Job, number>();

	const getLearntAtMs = (job: Job): number => {
		const atMs = learntAtMs.get(job) ?? timers.getNow();
		learntAtMs.set(job, atMs);
		return atMs;
	};

	return {
		update() {
			for (const job of listReleasedJobs(getLedger())) {
				getLearntAtMs(job);
			}
		},
		listExpired: retentionMs => listReleasedJobs(getLedger())
			.filter(job => timers.getNow() - getLearntAtMs(job) > retentionMs)
			.map(({id}) => id),
	};
}
