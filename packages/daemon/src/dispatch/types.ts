/**
 * Types of the attempts that are sent to minions, and of their events.
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
	/** Limit on the connections of this node to the minion. */
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

/** Handles the events of a running attempt. */
export type DispatchHandlers = {
	/** Called before the request is written; from then on the minion may have run the job. */
	readonly onFirstByte: () => void;
	readonly onAnswerStart: (answer: {readonly status: number; readonly contentType: string | undefined}) => void;
	/** Called for each chunk of the answer; returns false if the caller cannot take more now. */
	readonly onAnswerData: (chunk: Uint8Array) => boolean;
	readonly onAnswerEnd: () => void;
	/** `bytesSent` is false only if the minion cannot have received the request or states that it has not run the job. */
	readonly onFailure: (failure: {readonly kind: AttemptFailureKind; readonly bytesSent: boolean}) => void;
};

/** A running attempt. */
export type RunningAttempt = {
	/** Asks the minion to stop the job and closes the attempt. */
	readonly cancel: () => void;
	/** Resumes the answer once the caller can take more of it. */
	readonly resume: () => void;
};

/** Sends attempts to minions. */
export type MinionClient = {
	readonly dispatch: (attempt: DispatchAttempt, handlers: DispatchHandlers) => RunningAttempt;
	/** Closes the connections to a minion that no longer exists. */
	readonly forget: (minion: MinionId) => void;
	readonly close: () => Promise<void>;
};
