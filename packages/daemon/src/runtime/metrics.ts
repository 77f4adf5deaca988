import process from 'node:process';
// The package's main entry also loads a WebAssembly build and a compressor, which take 13 MB of resident memory.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';
import type {JobOutcome} from '@samphiremill/core';
import type {
	CounterName, HistogramReport, Metrics,
} from './types.js';

const highestTrackableMs = 3_600_000;
const significantDigits = 2;

const createHistogram = () => new int32Histogram.default(1, highestTrackableMs, significantDigits); // eslint-disable-line new-cap -- the class as CommonJS exports it

type JobHistogram = {
	readonly queue: string;
	readonly outcome: JobOutcome['type'];
	readonly histogram: ReturnType<typeof createHistogram>;
};

const toReport = ({queue, outcome, histogram}: JobHistogram): HistogramReport => ({
	queue,
	outcome,
	count: histogram.totalCount,
	p50Ms: histogram.getValueAtPercentile(50),
	p99Ms: histogram.getValueAtPercentile(99),
	p999Ms: histogram.getValueAtPercentile(99.9),
	maximumMs: histogram.maxValue,
});

/** Creates the counters and histograms of one daemon, all empty. */
export function createMetrics(): Metrics {
	const counters = new Map<CounterName, number>();
	const histograms = new Map<string, JobHistogram>();

	return {
		count(name) {
			counters.set(name, (counters.get(name) ?? 0) + 1);
		},
		recordJob({queue, outcome, durationMs}) {
			const key = `${queue}/${outcome}`;
			const existing = histograms.get(key) ?? {
				queue,
				outcome,
				histogram: createHistogram(),
			};
			histograms.set(key, existing);
			existing.histogram.recordValue(Math.min(highestTrackableMs, Math.max(0, Math.round(durationMs))));
		},
		getReport: () => ({
			counters: Object.fromEntries(counters),
			jobDurations: [...histograms.values()].map(histogram => toReport(histogram)),
			residentMemoryBytes: process.memoryUsage.rss(),
		}),
	};
}
