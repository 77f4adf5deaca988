/**
 * Counters and latency histograms of one process, in the Prometheus text format.
 */
// The package's main entry also loads its WebAssembly build and a compressor, which take 13 MB of resident memory.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js';

/** Names of the counters. Their labels come from fixed sets, so the number of series is bounded. */
export type SchedulerCounter
	= | 'jobs_accepted_total'
		| 'jobs_refused_total'
		| 'jobs_cancelled_total'
		| 'jobs_ended_total'
		| 'runs_assigned_total'
		| 'assignments_refused_total'
		| 'commands_too_large_total'
		| 'runs_ended_total'
		| 'malformed_rows_total'
		| 'leases_lapsed_total'
		| 'minion_crashes_total'
		| 'jobs_given_up_total'
		| 'starts_unanswered_total'
		| 'unassigned_runs_total'
		| 'upkeeps_ordered_total'
		| 'moves_begun_total'
		| 'terms_led_total'
		| 'leader_contact_lost_total'
		| 'requests_answered_total'
		| 'requests_not_answered_total';

/** Names of the latency histograms, in milliseconds. */
export type SchedulerLatency
	= | 'commit_ms'
		| 'plan_ms'
		| 'request_ms'
		| 'snapshot_ms'
		| 'order_confirmed_ms'
		| 'order_rejected_ms'
		| 'order_failed_ms';

/** Names of the gauges. */
export type SchedulerGauge = 'pool_cores' | 'pool_burst_readiness' | 'control_host' | 'entry_host';

/** Counters, gauges and histograms. */
export type SchedulerMetrics = {
	readonly count: (name: SchedulerCounter, label?: string) => void;
	readonly record: (name: SchedulerLatency, durationMs: number) => void;
	/** Replaces all series of a gauge: values by their labels in the text format. */
	readonly setGauges: (name: SchedulerGauge, values: ReadonlyMap<string, number>) => void;
	/** Returns all series in the Prometheus text format. */
	readonly format: () => string;
};

const highestTrackableMs = 60_000;
const significantDigits = 2;
const quantiles = [50, 90, 99, 100];
const prefix = 'samphiremill_';

const createHistogram = () => new int32Histogram.default(1, highestTrackableMs, significantDigits); // eslint-disable-line new-cap -- the CommonJS build exports the class under this name

/** Creates metrics without any series yet. */
export function createSchedulerMetrics(): SchedulerMetrics {
	const counters = new Map<string, number>();
	const gauges = new Map<SchedulerGauge, ReadonlyMap<string, number>>();
	const histograms = new Map<SchedulerLatency, ReturnType<typeof createHistogram>>();

	const formatHistogram = ([name, histogram]: [SchedulerLatency, ReturnType<typeof createHistogram>]) => [
		...quantiles.map(quantile => `${prefix}${name}{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`),
		`${prefix}${name}_count ${histogram.totalCount}`,
	];

	return {
		count(name, label) {
			const series = label === undefined ? name : `${name}{kind="${label}"}`;
			counters.set(series, (counters.get(series) ?? 0) + 1);
		},
		record(name, durationMs) {
			const histogram = histograms.get(name) ?? createHistogram();
			histograms.set(name, histogram);
			histogram.recordValue(Math.min(highestTrackableMs, Math.max(1, Math.round(durationMs))));
		},
		setGauges(name, values) {
			gauges.set(name, values);
		},
		format: () => [
			...[...counters].map(([series, value]) => `${prefix}${series} ${value}`),
			...[...gauges].flatMap(([name, values]) => [...values].map(([labels, value]) => `${prefix}${name}{${labels}} ${value}`)),
			...[...histograms].flatMap(entry => formatHistogram(entry)),
			'',
		].join('\n'),
	};
}
