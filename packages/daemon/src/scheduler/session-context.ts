/**
 * The services that the leader provides to its minion sessions.
 */
import type {TimerService} from '@samphiremill/common';
import type {
	Job, Ledger, LedgerCommand, IncarnationId, Task, TaskId, Ticket,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {SchedulerMetrics} from './metrics.js';
import type {GetSteadyTime} from './steady-time.js';
import type {StartsUnderWay} from './starts-under-way.js';
import type {MinionPort} from './types.js';

/** The leader's services and settings that a minion session uses. */
export type SessionContext = {
	readonly timers: TimerService;
	readonly minions: MinionPort;
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	readonly fencingToken: number;
	readonly leaseMs: number;
	/** The longest lease in milliseconds that a minion accepts, whatever deadline it is given. */
	readonly longestHoldMs: number;
	/** Start of the leader's term, on the monotonic clock. */
	readonly termBeganAtMs: number;
	readonly getLedger: () => Ledger;
	/** Whether this host may still send orders. Called immediately before each order. */
	readonly canAct: () => boolean;
	/** Resolves to true once the command is applied, and to false if it was not or if that is unknown. */
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	readonly getWallClock: () => number;
	/** The clock of losses. */
	readonly getSteadyTime: GetSteadyTime;
	/** Whether another minion was lost at about this time on the monotonic clock although no run had just started there. */
	readonly isLossShared: (life: IncarnationId, atMs: number) => boolean;
	/** Called when minions joined, left, or became available for work again. */
	readonly onMinionsChanged: () => void;
	readonly startsUnderWay: Pick<StartsUnderWay, 'record' | 'renew'>;
	/** Called when a minion has refused to start a run. */
	readonly onStartRefused: (task: TaskId) => void;
	/** Called when a minion has started a run. */
	readonly onRunStarted: (task: TaskId) => void;
	/** Called when a minion first confirms a run, also one that has ended. */
	readonly onStartConfirmed: (task: TaskId) => void;
	/** Called after run ends were proposed to the log. */
	readonly onRunsEnded: () => void;
	/** Called when a minion answers that it follows a newer leader. */
	readonly onFenced: (life: IncarnationId) => void;
	readonly getTicket: (task: Task, life: IncarnationId) => Ticket | undefined;
	readonly dropTicket: (task: Task, life: IncarnationId) => void;
	/** Records that a task failed on an incarnation or was refused by it, and should preferably run on another one. */
	readonly recordFailure: (task: TaskId, life: IncarnationId) => void;
	readonly recordCompletion: (task: TaskId, done: {readonly life: IncarnationId; readonly elapsedMs: number}) => void;
	/** Called after run ends were proposed, with the jobs that were active before. */
	readonly onEndsRecorded: (jobs: readonly Job[]) => void;
};
