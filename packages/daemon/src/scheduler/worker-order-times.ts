/**
 * Tracks when this host learnt of the latest platform order for each worker, on its own clock. An order whose end is
 * committed was sent before that, so it is never more recent than the time recorded here. An open order may still be retried.
 */
import type {TimerService, WorkerId} from '@samphiremill/common';
import type {LedgerCommand} from '@samphiremill/core';

/** The times at which this host learnt of platform orders. */
export type WorkerOrderTimes = {
	/** Records a command that was applied to the ledger. */
	readonly recordCommand: (command: LedgerCommand) => void;
	/** Records that the ledger was replaced by a snapshot. */
	readonly recordRestore: () => void;
	/** Returns the latest time at which the last order for the worker can have been recorded, on the monotonic clock. */
	readonly getLastOrderAtMs: (worker: WorkerId) => number;
};

/** Creates an empty record. Orders from before this call count as learnt now. */
export function createWorkerOrderTimes(timers: TimerService): WorkerOrderTimes {
	const learntAtMs = new Map<WorkerId, number>();
	let restoredAtMs = timers.getNow();

	const recordCommand = (command: LedgerCommand) => {
		if (command.type === 'worker/ordered' || command.type === 'worker/orderEnded') {
			learntAtMs.set(command.worker, timers.getNow());
		} else if (command.type === 'batch') {
			for (const part of command.commands) {
				recordCommand(part);
			}
		}
	};

	return {
		recordCommand,
		recordRestore() {
			learntAtMs.clear();
			restoredAtMs = timers.getNow();
		},
		getLastOrderAtMs: worker => learntAtMs.get(worker) ?? restoredAtMs,
	};
}
