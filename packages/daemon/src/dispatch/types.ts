/**
 * What a dispatch to a minion reports, attempt by attempt.
 */
import type {JobId, MinionId, MonotonicMs} from '@samphiremill/common';

/** One attempt to run a job on a minion. */
export type DispatchAttempt = {
	readonly job: JobId;
	readonly attempt: number;
	readonly minion: MinionId;
	/** An IP number. */
	readonly host: string;
	readonly port: number;
	readonly queue: string;
	readonly team: string;
	readonly deadlineAtMs: MonotonicMs;
	readonly isIdempotent: boolean;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** The most connections this node may have open to the minion. */
	readonly maximumConnections: number;
};

/** How an attempt failed. */
export type AttemptFailureKind
	= | 'connectRefused'
		| 'connectTimeout'
		| 'reset'
		| 'timeout'
		| 'busy'
		| 'stopped';

/** What the shell hears of an attempt while it runs. */
export type DispatchHandlers = {
	/** The request is about to be written; from here on the minion may have run the job. */
	readonly onFirstByte: () => void;
	readonly onAnswerStart: (answer: {readonly status: number; readonly contentType: string | undefined}) => void;
	/** Called for each part of the answer; returns false when the caller cannot take more now. */
	readonly onAnswerData: (chunk: Uint8Array) => boolean;
	readonly onAnswerEnd: () => void;
	/** `bytesSent` is false only when the minion cannot have seen the request, or says so itself. */
	readonly onFailure: (failure: {readonly kind: AttemptFailureKind; readonly bytesSent: boolean}) => void;
};

/** A running attempt. */
export type RunningAttempt = {
	/** Asks the minion to stop the job and closes the attempt. */
	readonly cancel: () => void;
	/** Tells that the caller can take more of the answer. */
	readonly resume: () => void;
};

/** Sends attempts to minions. */
export type MinionClient = {
	readonly dispatch: (attempt: DispatchAttempt, handlers: DispatchHandlers) => RunningAttempt;
	/** Drops the connections to a minion that is gone. */
	readonly forget: (minion: MinionId) => void;
	readonly close: () => Promise<void>;
};
