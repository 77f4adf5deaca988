/**
 * Types that the parts of a running daemon share.
 */
import type {
	JobId, QueueId, Result, TimerService, WallClockMs,
} from '@samphiremill/common';
import type {
	ControlAnswer, ControlCommand, ControlState, JobOutcome, JobSpec, MembershipConfig, NodeEvent, NodeState, ReplicaFailure, StoredAnswer,
} from '@samphiremill/core';
import type {BodyBudget} from '../http/read-body.js';
import type {Settings} from '../settings/index.js';

/** Receives the answer of one job, piece by piece. */
export type AnswerSink = {
	readonly start: (answer: {readonly status: number; readonly contentType: string | undefined}) => void;
	/** Returns false if the caller cannot take more now; `resume` is called once it can. */
	readonly write: (chunk: Uint8Array, resume: () => void) => boolean;
	readonly end: () => void;
	/** Ends a job without an answer, or with an incomplete one. */
	readonly refuse: (outcome: Extract<JobOutcome, {readonly type: 'refused'}>) => void;
	/** Sends the answer to an earlier request with the same key; `answer` is undefined if it is no longer stored. */
	readonly replay: (replay: {readonly status: number; readonly answer: StoredAnswer | undefined}) => void;
};

/** A job that a caller has submitted. */
export type SubmittedJob = {
	readonly spec: JobSpec;
	readonly body: Uint8Array;
	readonly contentType: string;
	readonly sink: AnswerSink;
};

/** The result of proposing a command: where it was committed and its answer on this node, or why it was not. */
export type ProposalResult = Result<{readonly index: number; readonly answer: ControlAnswer | undefined}, ReplicaFailure>;

/** A running entry host, as its HTTP routes use it. */
export type Runtime = {
	readonly settings: Settings;
	readonly timers: TimerService;
	readonly bodyBudget: BodyBudget;
	readonly getWallClock: () => WallClockMs;
	readonly createJobId: () => JobId;
	readonly getControl: () => ControlState;
	readonly getState: () => NodeState;
	/** `starting` until the records are confirmed for the first time, `stale` while no quorum can be reached. */
	readonly getFreshness: () => 'fresh' | 'stale' | 'starting';
	readonly isStopping: () => boolean;
	readonly dispatch: (event: NodeEvent) => void;
	readonly submit: (job: SubmittedJob) => void;
	readonly propose: (command: ControlCommand) => Promise<ProposalResult>;
	readonly membershipConfig: MembershipConfig;
	readonly log: StructuredLogger;
	readonly metrics: Metrics;
};

/** Writes structured log lines. */
export type StructuredLogger = {
	readonly debug: (message: string, fields: LogFields) => void;
	readonly info: (message: string, fields: LogFields) => void;
	readonly warn: (message: string, fields: LogFields) => void;
	readonly error: (message: string, fields: LogFields) => void;
};

/** The fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Counters and histograms of one daemon. */
export type Metrics = {
	readonly count: (name: CounterName) => void;
	/** Records how long a job took from submission to its outcome, in milliseconds. */
	readonly recordJob: (job: {readonly queue: QueueId; readonly outcome: JobOutcome['type']; readonly durationMs: number}) => void;
	/** Creates a document of all counters and histograms. */
	readonly getReport: () => MetricsReport;
};

/** The name of a counter in the metrics document. */
export type CounterName
	= | 'jobsSubmitted'
		| 'jobsAnswered'
		| 'jobsRefused'
		| 'jobsReplayed'
		| 'badRequests'
		| 'unauthorizedRequests'
		| 'oversizedBodies'
		| 'truncatedBodies'
		| 'malformedRequests'
		| 'unexpectedErrors'
		| 'malformedPeerMessages';

/** Durations of the jobs of one queue and outcome, in milliseconds. */
export type HistogramReport = {
	readonly queue: string;
	readonly outcome: JobOutcome['type'];
	readonly count: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly maximumMs: number;
};

/** The metrics document. */
export type MetricsReport = {
	readonly counters: Readonly<Partial<Record<CounterName, number>>>;
	readonly jobDurations: readonly HistogramReport[];
	readonly residentMemoryBytes: number;
};
