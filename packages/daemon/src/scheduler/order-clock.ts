/**
 * When this host learnt of the latest order to the platform for each worker. The time is this host's
 * own: an order was sent before its end was noted, so it is never older than it seems here.
 */
import type {TimerService, WorkerId} from '@samphiremill/common';
import type {LedgerCommand} from '@samphiremill/core';

/** The times of orders. */
export type WorkerOrderTimes = {
	/** Takes in a command that was applied. */
	readonly recordCommand: (command: LedgerCommand) => void;
	/** Takes in that the ledger came from elsewhere. */
	readonly recordRestore: () => void;
	/** @returns When an order for the worker was last noted at the latest, on the monotonic clock. */
	readonly getLastOrderAtMs: (worker: WorkerId) => number;
};

/**
 * @param timers - The time.
 * @returns The clock.
 */
export function createWorkerOrderTimes(timers: TimerService): WorkerOrderTimes {
	const learntAtMs = new Map<WorkerId, number>();
	let restoredAtMs = timers.getNow();

	const note = (command: LedgerCommand) => {
		if (command.type === 'worker/ordered' || command.type === 'worker/orderEnded') {
			learntAtMs.set(command.worker, timers.getNow());
		} else if (command.type === 'batch') {
			for (const part of command.commands) {
				note(part);
			}
		}
	};

	return {
		recordCommand: note,
		recordRestore() {
			learntAtMs.clear();
			restoredAtMs = timers.getNow();
		},
		getLastOrderAtMs: worker => learntAtMs.get(worker) ?? restoredAtMs,
	};
}
