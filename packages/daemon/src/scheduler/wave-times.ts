/**
 * Tracks when this host learnt of maintenance waves and of the maintenance of their workers, on its own monotonic clock.
 * Jumps of the time of day do not affect these times, and a host that becomes the leader has had them all along.
 */
import type {TimerService, WaveId, WorkerId} from '@samphiremill/common';
import type {LedgerCommand, MaintenanceTimes, MaintenanceWave} from '@samphiremill/core';

/** The times at which this host learnt of waves and of the maintenance of workers. */
export type WaveTimes = MaintenanceTimes & {
	/** Records a command that was applied to the ledger. */
	readonly recordCommand: (command: LedgerCommand) => void;
	/** Records that the ledger was replaced by a snapshot. */
	readonly recordRestore: () => void;
};

/** When this host learnt of something, on both of its clocks. */
type Learnt = {
	readonly atMs: number;
	readonly wallClockMs: number;
};

/** Creates an empty record. What the ledger holds from before this call counts as learnt now. */
export function createWaveTimes({timers, getWallClock}: {readonly timers: Pick<TimerService, 'getNow'>; readonly getWallClock: () => number}): WaveTimes {
	const waves = new Map<WaveId, Learnt>();
	const begunAtMs = new Map<WaveId, Map<WorkerId, number>>();
	const getLearnt = (): Learnt => ({atMs: timers.getNow(), wallClockMs: getWallClock()});
	let restored = getLearnt();

	// A later order for the same maintenance may be the first one that took effect.
	const recordBegun = (wave: WaveId, worker: WorkerId) => {
		const workers = begunAtMs.get(wave) ?? new Map<WorkerId, number>();
		begunAtMs.set(wave, workers.set(worker, timers.getNow()));
	};

	// A wave that is started again keeps its due time.
	const recordStarted = (wave: WaveId) => {
		waves.set(wave, waves.get(wave) ?? getLearnt());
	};

	const recordCommand = (command: LedgerCommand) => {
		if (command.type === 'wave/started') {
			recordStarted(command.wave.wave);
		}

		if (command.type === 'wave/workerBegun') {
			recordBegun(command.wave, command.worker);
		}

		for (const part of command.type === 'batch' ? command.commands : []) {
			recordCommand(part);
		}
	};

	return {
		recordCommand,
		recordRestore() {
			waves.clear();
			begunAtMs.clear();
			restored = getLearnt();
		},
		getBegunAtMs: (wave, worker) => begunAtMs.get(wave)?.get(worker) ?? restored.atMs,
		// The time of day is read once, since a host that restarts or restores a snapshot learns of a wave long after its start.
		getDueAtMs({wave, startedAtMs, dueAtMs}: MaintenanceWave) {
			const {atMs, wallClockMs} = waves.get(wave) ?? restored;
			const leftMs = Math.min(dueAtMs - startedAtMs, dueAtMs - wallClockMs);
			return atMs + Math.max(0, leftMs);
		},
	};
}
