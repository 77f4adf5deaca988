/**
 * What the sessions with minions need of their leader.
 */
import type {TimerService} from '@samphiremill/common';
import type {
	Job, Ledger, LedgerCommand, IncarnationId, Task, TaskId, Ticket,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {SchedulerMetrics} from './metrics.js';
import type {MinionPort} from './types.js';

/** What a session needs of the leader. */
export type SessionContext = {
	readonly timers: TimerService;
	readonly minions: MinionPort;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly fencingToken: number;
	readonly leaseMs: number;
	/** The longest lease that a minion takes, whatever deadline it is given, in milliseconds. */
	readonly longestHoldMs: number;
	/** When the term began, on the monotonic clock. */
	readonly termBeganAtMs: number;
	readonly getLedger: () => Ledger;
	/** Whether this host may still give orders; asked right before each. */
	readonly canAct: () => boolean;
	/** Resolves once the command is applied; false if it was not, or may not have been. */
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	readonly getWallClock: () => number;
	/** Minions came, went, or may be given work again. */
	readonly onMinionsChanged: () => void;
	/** Ends of runs were noted. */
	readonly onRunsEnded: () => void;
	/** A minion follows a newer leader. */
	readonly onFenced: () => void;
	readonly getTicket: (task: Task, life: IncarnationId) => Ticket | undefined;
	readonly dropTicket: (task: Task, life: IncarnationId) => void;
	readonly recordFailure: (task: TaskId, life: IncarnationId) => void;
	readonly recordCompletion: (task: TaskId, done: {readonly life: IncarnationId; readonly elapsedMs: number}) => void;
	/** Jobs that were active before ends were noted. */
	readonly onEndsRecorded: (jobs: readonly Job[]) => void;
};
