import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import type {JobOutcome} from '@samphiremill/core';
import type {
	CounterName, HistogramReport, Metrics,
} from './types.js';

const highestTrackableMs = 3_600_000;
const significantDigits = 2;

type JobHistogram = {
	readonly queue: string;
	readonly outcome: JobOutcome['type'];
	readonly histogram: Histogram;
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

/** @returns Counters and histograms of one daemon, all empty. */
export function createMetrics(): Metrics {
	const counters = new Map<CounterName, number>();
	const histograms = new Map<string, JobHistogram>();

	return {
		count(name) {
			counters.set(name, (counters.get(name) ?? 0) + 1);
		},
		recordJob({queue, outcome, durationMs}) {
			const key = `${queue}/${outcome}`;
			const known = histograms.get(key) ?? {
				queue,
				outcome,
				histogram: build({
					bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: highestTrackableMs, numberOfSignificantValueDigits: significantDigits,
				}),
			};
			histograms.set(key, known);
			known.histogram.recordValue(Math.min(highestTrackableMs, Math.max(0, Math.round(durationMs))));
		},
		getReport: () => ({
			counters: Object.fromEntries(counters),
			jobDurations: [...histograms.values()].map(histogram => toReport(histogram)),
			residentMemoryBytes: process.memoryUsage.rss(),
		}),
	};
}
