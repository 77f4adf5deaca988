/**
 * The options of a simulation, its minions, and its public face.
 */
import type {JobId, PoolId} from '@samphiremill/common';
import type {
	Ledger, LedgerCommand, MinionRecord, RunEnding, StepSpecification, TaskId,
} from '@samphiremill/core';
import type {StructuredLogger} from '../../runtime/types.js';
import type {ClusterAnswer, FinishedEntry, MinionPort} from '../types.js';

/** Options of a simulation. */
export type TestWorldOptions = {
	readonly seed: number;
	readonly minionCount?: number;
	/** Probability that an order gets no answer; half of these orders are carried out seconds later. */
	readonly lossChance?: number;
	/** How long a leader sends no orders for a worker after an order of another leader. */
	readonly orderTurnMs?: number;
	/** Probability that a run fails. */
	readonly failureChance?: number;
	readonly teamMaximumMillicores?: number;
	/** Whether there is a second team, with the key `otherTeamKey`. */
	readonly hasOtherTeam?: boolean;
	readonly standbyWorkers?: number;
	/** Whether the platform takes orders for workers; by default, if there are standby workers. */
	readonly hasWorkerOrders?: boolean;
	/** Whether the queue uses an advice service. */
	readonly hasAdvice?: boolean;
	/** Probability that the advice service allows a step on a minion; fixed for each step and minion. */
	readonly approvalChance?: number;
	/** Mean time after which a long-running task fails by itself; without it, none does. */
	readonly meanLifeMs?: number;
	readonly log?: StructuredLogger;
	/** Length of each lease on a minion, in milliseconds. */
	readonly leaseMs?: number;
	/** Longest lease that a minion accepts, in milliseconds. */
	readonly longestHoldMs?: number;
	/** Returns by how much the clocks of the minions' hosts are wrong now. */
	readonly getClockError?: () => number;
	/** Returns by how much the time of day of the leader's host is wrong now; by default, it jumps ahead and back. */
	readonly getLeaderClockError?: () => number;
	/** Changes what the leader's calls to minions do. */
	readonly alterPort?: (port: MinionPort) => MinionPort;
	/** With it, a gang works from the moment when all its members are present and ends together; without, each member by itself. */
	readonly gangTimeoutMs?: number;
	/** Whether tasks that save checkpoints do so while they run, and when they are stopped. */
	readonly hasCheckpoints?: boolean;
	/** How many kinds of workers there are; each minion has the label `kind-N` of its kind. */
	readonly workerKinds?: number;
	/** Called when the leader gives up its lead, since minions follow a newer one. */
	readonly onFenced?: () => void;
};

/** How a minion handles starts and stops while it still answers hold calls. */
export type OrderFault = 'refused' | 'noRoom' | 'badTicket' | 'unhealthy' | 'invalid' | 'unanswered';

/** A run on a minion of the simulation. */
export type FakeRun = {
	readonly run: number;
	readonly startedAtMs: number;
	/** Since when it works; a gang member that waits for the others does not. */
	workingSinceMs: number;
	/** The checkpoint that it resumed from. */
	readonly checkpoint: string;
	endsAtMs: number;
	ending: RunEnding;
	stopAtMs: number;
};

/** A minion of the simulation: its record and all that it holds. */
export type FakeMinion = {
	record: MinionRecord;
	readonly clockRate: number;
	readonly bornAtMs: number;
	readonly runs: Map<TaskId, FakeRun>;
	readonly highestRuns: Map<string, number>;
	finished: FinishedEntry[];
	nextNumber: number;
	startCount: number;
	fencingToken: number;
	deadlineMs: number;
	isSilent: boolean;
	isGone: boolean;
	/** Whether connections to the minion's address are refused. */
	isRefusing: boolean;
	isStalled: boolean;
	/** All runs that start before this time fail shortly after. */
	failsUntilMs: number;
	orderFault: {readonly kind: OrderFault; readonly untilMs: number} | undefined;
	lastLapseNumber: number;
	/** Orders sent while the minion is silent; they arrive once it answers again. */
	delayed: Array<() => void>;
	isDraining: boolean;
};
/** When the occurrences of a job are due, in milliseconds from its submission. */
export type Repetition = {
	readonly firstDueInMs: number;
	readonly intervalMs: number;
	readonly count: number;
};

/** How one leader follows another; times from the change in milliseconds. */
export type LeaderChange
	/** The next leader begins at once, and the former one only finds that its orders are refused. */
	= | {readonly type: 'overlapping'}
	/** The former leader hands over: it acts no more, and stops when the next one begins. */
		| {readonly type: 'planned'; readonly nextAfterMs: number}
	/** The former leader is gone at once, with the answers that it waits for. */
		| {readonly type: 'unplanned'; readonly nextAfterMs: number}
	/** The former leader stands still, wakes up, and stops once it has noticed the next one. */
		| {readonly type: 'frozen'; readonly nextAfterMs: number; readonly wakesAfterMs: number};

/** A running simulation. */
export type TestWorld = {
	readonly pool: PoolId;
	readonly advance: (durationMs: number) => Promise<void>;
	/** Calls the callback while time advances. */
	readonly schedule: (delayMs: number, callback: () => void) => void;
	readonly submit: (steps: ReadonlyArray<Partial<StepSpecification>>, repetition?: Repetition) => {readonly id: JobId; readonly answer: Promise<ClusterAnswer>};
	/** Submits a job under an id that was submitted before, with the key of that time by default. */
	readonly submitAgain: (id: JobId, steps: ReadonlyArray<Partial<StepSpecification>>, callerKey?: string) => Promise<ClusterAnswer>;
	/** Sends the operator's next configuration, with another maximum of the team. */
	readonly replaceConfiguration: (teamMaximumMillicores: number) => Promise<ClusterAnswer>;
	readonly cancel: (id: JobId) => Promise<ClusterAnswer>;
	readonly getState: (id: JobId) => string | undefined;
	/** Asks the leader for a job's state, or without an id for the number of pending jobs. */
	readonly read: (id?: JobId) => Promise<ClusterAnswer>;
	/** Makes another host the leader, by default one that overlaps with the former leader. Ignored while there is none. */
	readonly changeLeader: (change?: LeaderChange) => Promise<void>;
	/** Stops the minion from answering and reporting; delayed orders arrive `arrivalMs` after it answers again. */
	readonly silence: (index: number, durationMs: number, arrivalMs?: number) => void;
	/** Sends a report that another writer made up from the description of the minion. */
	readonly reportFalsely: (index: number, change: Partial<MinionRecord>) => Promise<ClusterAnswer>;
	/** Changes the processor capacity of the minion while it runs; its reports show it from now on. */
	readonly resize: (index: number, cpuMillicores: number) => void;
	/** Sends a report of the minion again that it sent before with another capacity. */
	readonly repeatReport: (index: number, change: {readonly cpuMillicores: number; readonly sequence: number}) => Promise<ClusterAnswer>;
	/** Has the minion report from now on that it is draining. */
	readonly drain: (index: number) => void;
	readonly crash: (index: number) => void;
	/** Like `crash`, but the minion's host refuses connections from then on, and the worker is back sooner, as another minion. */
	readonly crashVisibly: (index: number) => void;
	/** Refuses all connections to the minion for this time, as a cut with resets does; its runs go on. */
	readonly cutWithResets: (index: number, durationMs: number) => void;
	/** Each minion that starts the task crashes shortly after the start. */
	readonly makeDeadly: (task: TaskId, options?: {readonly afterMs?: number}) => void;
	/** Returns how many minions have crashed under a deadly task. */
	readonly countCrashesUnder: (task: TaskId) => number;
	/** Crashes the minion and starts its next incarnation shortly after, under the same id and at the same address. */
	readonly restart: (index: number) => void;
	/** Like `restart`, but no closed connection tells the leader of the crash: pending hold calls keep waiting. */
	readonly restartUnnoticed: (index: number) => void;
	/** No call of the leader reaches the minion, but its reports still arrive over other hosts. */
	readonly cutFromLeader: (index: number, durationMs: number) => void;
	/** Commits nothing to the log for this time; the leader keeps its lease. */
	readonly stallLog: (durationMs: number) => void;
	/** The platform is slow with the next order for a worker: it gets no answer, and is carried out after this time. */
	readonly delayWorkerOrder: (delayMs: number) => void;
	/** The next hold call that grants the minion time gets no answer, and is carried out after this time. */
	readonly delayHold: (index: number, arrivalMs: number) => void;
	/** Delayed orders reach the incarnation that is at the address when they arrive; if asked for, all but starts. */
	readonly sendLateOrdersToNextIncarnation: (options?: {readonly areStartsLost?: boolean}) => void;
	/** The minion calls leave, ignores the answer, and ends after this time. */
	readonly leaveUnconfirmed: (index: number, endsAfterMs: number) => void;
	/** The minion's process listens no more, and calls leave; it ends with its answer, or after this time. Returns the type of the answer. */
	readonly leaveUnlistening: (index: number, endsAfterMs: number) => Promise<string | undefined>;
	readonly listRunsByIncarnation: () => readonly string[];
	/** Runs that start on the minion from now on never end unless they are stopped. */
	readonly stall: (index: number) => void;
	/** All runs that start on the minion for this time fail within 100 ms, also long-running tasks. */
	readonly failAll: (index: number, durationMs: number) => void;
	/** The minion refuses starts, or answers neither starts nor stops, for this time. It still answers hold calls. */
	readonly disturbOrders: (index: number, kind: OrderFault, durationMs: number) => void;
	/** The leader can't be certain to lead for this time. */
	readonly pauseLeader: (durationMs: number) => void;
	/** Raises the probability that an order gets no answer for this time. */
	readonly loseOrders: (chance: number, durationMs: number) => void;
	/** Applies the next command of this type, but tells the leader that its result is unknown. */
	readonly loseOutcome: (type: LedgerCommand['type']) => void;
	/** Drops commands of these types for this time, and tells the leader that their result is unknown. */
	readonly dropCommands: (types: ReadonlyArray<LedgerCommand['type']>, durationMs: number) => void;
	/** Delays the commit of the next command of this type, and thereby of the commands after it. */
	readonly delayCommit: (type: LedgerCommand['type'], delayMs: number) => void;
	readonly countRuns: (id: JobId) => number;
	/** Number of starts that the minion carried out. */
	readonly countStartsOn: (index: number) => number;
	readonly listViolations: () => readonly string[];
	/** Lists the orders that real minions refuse, so that they cost time and break no promise. */
	readonly listCosts: () => readonly string[];
	/** Lists the long-running tasks that waited too long beside a minion with room, while nothing was wrong. */
	readonly listOverdueTasks: () => readonly string[];
	readonly listMoves: () => readonly string[];
	readonly startWave: (workerCount: number, maximumAtOnce: number) => Promise<ClusterAnswer>;
	readonly isWaveCompleted: () => Promise<boolean>;
	readonly getLedger: () => Ledger;
	readonly countStarts: () => number;
	readonly getNow: () => number;
};
