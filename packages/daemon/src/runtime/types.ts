/**
 * What the parts of a running daemon share.
 */
import type {
	JobId, QueueId, Result, TimerService, WallClockMs,
} from '@samphiremill/common';
import type {
	ControlAnswer, ControlCommand, ControlState, JobOutcome, JobSpec, MembershipConfig, NodeEvent, NodeState, ReplicaFailure, StoredAnswer,
} from '@samphiremill/core';
import type {BodyBudget} from '../http/read-body.js';
import type {Settings} from '../settings/index.js';

/** Where the parts of one job's answer go. */
export type AnswerSink = {
	readonly start: (answer: {readonly status: number; readonly contentType: string | undefined}) => void;
	/** Returns false when no more can be taken now; `resume` is called later. */
	readonly write: (chunk: Uint8Array, resume: () => void) => boolean;
	readonly end: () => void;
	/** The job ended without an answer, or with one that breaks off. */
	readonly refuse: (outcome: Extract<JobOutcome, {readonly type: 'refused'}>) => void;
	/** An earlier send of the same key was answered; undefined when its answer is no longer kept. */
	readonly replay: (replay: {readonly status: number; readonly answer: StoredAnswer | undefined}) => void;
};

/** One job on its way from a caller. */
export type SubmittedJob = {
	readonly spec: JobSpec;
	readonly body: Uint8Array;
	readonly contentType: string;
	readonly sink: AnswerSink;
};

/** How a committed command came out on this node. */
export type ProposalResult = Result<{readonly index: number; readonly answer: ControlAnswer | undefined}, ReplicaFailure>;

/** One running entry host, as its HTTP routes see it. */
export type Runtime = {
	readonly settings: Settings;
	readonly timers: TimerService;
	readonly bodyBudget: BodyBudget;
	readonly getWallClock: () => WallClockMs;
	readonly createJobId: () => JobId;
	readonly getControl: () => ControlState;
	readonly getState: () => NodeState;
	/** `starting` until the records are confirmed, `stale` while no quorum can be reached. */
	readonly getFreshness: () => 'fresh' | 'stale' | 'starting';
	readonly isStopping: () => boolean;
	readonly dispatch: (event: NodeEvent) => void;
	readonly submit: (job: SubmittedJob) => void;
	readonly propose: (command: ControlCommand) => Promise<ProposalResult>;
	readonly membershipConfig: MembershipConfig;
	readonly log: StructuredLogger;
	readonly metrics: Metrics;
};

/** Writes one structured line for each decision. */
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
	/** @returns The counters and histograms as a document. */
	readonly getReport: () => MetricsReport;
};

/** What is counted. */
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

/** One histogram in milliseconds. */
export type HistogramReport = {
	readonly queue: string;
	readonly outcome: JobOutcome['type'];
	readonly count: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly maximumMs: number;
};

/** All that is measured. */
export type MetricsReport = {
	readonly counters: Readonly<Partial<Record<CounterName, number>>>;
	readonly jobDurations: readonly HistogramReport[];
	readonly residentMemoryBytes: number;
};
