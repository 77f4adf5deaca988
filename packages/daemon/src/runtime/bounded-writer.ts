/**
 * Writes log lines in the background from a buffer of limited size. Lines that exceed the buffer or the
 * number of lines per second are dropped and counted, and the count is logged.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {CancelTimer, TimerService} from '@samphiremill/common';

/** Limits of a writer. */
export type WriterLimits = {
	readonly maximumLinesPerSecond: number;
	readonly maximumBufferedBytes: number;
};

/** A line writer that never blocks its caller. */
export type BoundedWriter = {
	/** Buffers a line, given without its line break. */
	readonly writeLine: (line: string) => void;
	/** Resolves once every buffered line has been written or has failed to be written. */
	readonly flush: () => Promise<void>;
	readonly getDroppedLines: () => number;
	readonly close: () => void;
};

/** Writes text; resolves once it is written and rejects if that fails. */
export type WriteText = (text: string) => Promise<void>;

/** Default limits of one process: at most about 100 KB per second. */
export const defaultWriterLimits: WriterLimits = {maximumLinesPerSecond: 500, maximumBufferedBytes: 262_144};

const flushPeriodMs = 50;
const budgetPeriodMs = 1000;
const standardOutputDescriptor = 1;
/** Longest write that a pipe performs atomically (PIPE_BUF); a longer one may be cut within a line. */
const atomicWriteBytes = 4096;

/** Writes to standard output on a thread of the thread pool, so that a reader that stops reading does not block the process. */
export const writeToStandardOutput: WriteText = async text => new Promise((resolve, reject) => {
	write(standardOutputDescriptor, text, err => {
		if (err === null) {
			resolve();
		} else {
			reject(err);
		}
	});
});

/** Creates a writer that flushes its buffer periodically. */
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

	// Takes as many complete lines as fit into one atomic write, or a single longer line.
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
			// A failure of the log cannot be logged, so the lines only count as dropped.
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
