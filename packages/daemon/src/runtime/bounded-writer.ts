/**
 * Writes log lines in the background. Lines wait in a buffer of a fixed size; what a budget of lines a
 * second or the buffer has no room for is left out, counted, and the count is written.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {CancelTimer, TimerService} from '@samphiremill/common';

/** Bounds of a writer. */
export type WriterLimits = {
	readonly maximumLinesPerSecond: number;
	readonly maximumBufferedBytes: number;
};

/** A writer of lines that never blocks. */
export type BoundedWriter = {
	/** Takes a line without its line break. */
	readonly writeLine: (line: string) => void;
	/** Resolves once all lines that were taken are written, or could not be. */
	readonly flush: () => Promise<void>;
	readonly getDroppedLines: () => number;
	readonly close: () => void;
};

/** Writes some text and resolves when it is written; rejects if it can't be. */
export type WriteText = (text: string) => Promise<void>;

/** Bounds for one process: some 100 KB a second at most. */
export const defaultWriterLimits: WriterLimits = {maximumLinesPerSecond: 500, maximumBufferedBytes: 262_144};

const flushPeriodMs = 50;
const budgetPeriodMs = 1000;
const standardOutputDescriptor = 1;
/** A pipe takes a write of this length (PIPE_BUF) whole or not at all; longer ones may be cut within a line. */
const atomicWriteBytes = 4096;

/** Writes to standard output on a thread of its own, so that a reader that stops holds nothing up. */
export const writeToStandardOutput: WriteText = async text => new Promise((resolve, reject) => {
	write(standardOutputDescriptor, text, err => {
		if (err === null) {
			resolve();
		} else {
			reject(err);
		}
	});
});

/**
 * @param options - How to write, the time, and the bounds.
 * @returns The writer.
 */
export function createBoundedWriter({writeText, timers, limits = defaultWriterLimits}: {
	readonly writeText: WriteText;
	readonly timers: TimerService;
	readonly limits?: WriterLimits;
}): BoundedWriter {
	let buffered: string[] = [];
	let bufferedLength = 0;
	let writing: Promise<void> | undefined;
	let linesInPeriod = 0;
	let periodStartedAtMs: number = timers.getNow();
	let droppedInPeriod = 0;
	let droppedLines = 0;

	// Whole lines that a pipe takes in one piece, or one line that is longer.
	const takeChunk = (): readonly string[] => {
		let bytes = 0;
		const firstExcluded = buffered.findIndex(line => {
			bytes += Buffer.byteLength(line);
			return bytes > atomicWriteBytes;
		});
		const taken = firstExcluded === -1 ? buffered : buffered.slice(0, Math.max(1, firstExcluded));
		buffered = buffered.slice(taken.length);
		bufferedLength -= taken.reduce((sum, line) => sum + line.length, 0);
		return taken;
	};

	const writeChunk = async () => {
		const lines = takeChunk();
		try {
			await writeText(lines.join(''));
		} catch {
			// Nobody can be told where the log itself fails, so the lines count as left out.
			droppedLines += lines.length;
		}
	};

	const hasLines = () => buffered.length > 0;

	const drain = async () => {
		while (hasLines()) {
			await writeChunk(); // eslint-disable-line no-await-in-loop -- one write at a time
		}

		writing = undefined;
	};

	const flush = async () => {
		writing ??= drain();
		await writing;
	};

	const append = (line: string) => {
		buffered.push(`${line}\n`);
		bufferedLength += line.length + 1;
	};

	const startPeriod = () => {
		periodStartedAtMs = timers.getNow();
		linesInPeriod = 0;
		if (droppedInPeriod > 0) {
			append(JSON.stringify({level: 'warn', message: `${droppedInPeriod} log lines were left out`, droppedLines: droppedInPeriod}));
			droppedInPeriod = 0;
		}
	};

	const cancelTimer: CancelTimer = timers.scheduleEvery(flushPeriodMs, () => {
		if (timers.getNow() - periodStartedAtMs >= budgetPeriodMs) {
			startPeriod();
		}

		if (hasLines()) {
			void flush();
		}
	});

	return {
		writeLine(line) {
			linesInPeriod += 1;
			if (linesInPeriod > limits.maximumLinesPerSecond || bufferedLength + line.length > limits.maximumBufferedBytes) {
				droppedInPeriod += 1;
				droppedLines += 1;
				return;
			}

			append(line);
		},
		flush,
		getDroppedLines: () => droppedLines,
		close: cancelTimer,
	};
}
