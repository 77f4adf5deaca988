/**
 * What callers, minions and the platform see of a fleet, as observations that the checks are fed with.
 */
import type {
	JobId, MinionId, PoolId, QueueId, TeamId, WaveId, WorkerId,
} from '@samphiremill/common';
import type {
	FleetConfiguration, IncarnationId, JobSpecification, MinionRecord, Resources, RunEnding, TaskId, Ticket,
} from '@samphiremill/core';

/** A start that a minion carries out. */
export type ObservedStart = {
	readonly life: IncarnationId;
	readonly task: TaskId;
	readonly run: number;
	readonly payload: string;
	readonly checkpoint: string;
	readonly ticket: Ticket | undefined;
	/** The order was delayed on its way; promises with a time bound do not hold for it. */
	readonly isLate: boolean;
};

/** A run that has ended on a minion. */
export type ObservedEnd = {
	readonly life: IncarnationId;
	readonly task: TaskId;
	readonly run: number;
	readonly ending: RunEnding;
	/** The number of the end in the minion's list. */
	readonly number: number;
	readonly checkpoint: string;
};

/** An order for a worker that reaches the platform. */
export type ObservedWorkerOrder = {
	readonly worker: WorkerId;
	readonly holder: string;
	readonly fencingToken: number;
};

/** Something that a caller, a minion or the platform has seen. */
export type Observation
	/** The operator sends a configuration. */
	= | {readonly type: 'configurationSent'; readonly configuration: FleetConfiguration}
		| {readonly type: 'configurationConfirmed'; readonly version: number}
	/** A caller sends a job. */
		| {readonly type: 'jobSubmitted'; readonly job: JobId; readonly queue: QueueId; readonly team: TeamId | undefined; readonly specification: JobSpecification}
	/** A caller gets an answer to a submission. */
		| {readonly type: 'jobAnswered'; readonly job: JobId; readonly isRejected: boolean}
		| {readonly type: 'cancelSent'; readonly job: JobId}
		| {readonly type: 'cancelConfirmed'; readonly job: JobId}
	/** A caller reads the state of a job. */
		| {readonly type: 'jobShown'; readonly job: JobId; readonly state: string}
		| {readonly type: 'minionUp'; readonly record: MinionRecord}
		| {readonly type: 'minionDown'; readonly life: IncarnationId}
	/** The minion will end in any case. */
		| {readonly type: 'minionLeaving'; readonly life: IncarnationId}
	/** A report of the minion that it is draining is acknowledged. */
		| {readonly type: 'drainingConfirmed'; readonly life: IncarnationId}
	/** The minion's capacity changes; the earlier one counts until then, since nobody can know of the change yet. */
		| {readonly type: 'capacityChanged'; readonly life: IncarnationId; readonly capacity: Resources; readonly earlierCountsUntilMs: number}
		| ({readonly type: 'runStarted'} & ObservedStart)
		| ({readonly type: 'runEnded'} & ObservedEnd)
		| {readonly type: 'checkpointSaved'; readonly task: TaskId; readonly checkpoint: string}
	/** The minion answers with its list of ended runs. */
		| {readonly type: 'endsListed'; readonly life: IncarnationId}
		| {readonly type: 'endsAcknowledged'; readonly life: IncarnationId; readonly lastSeen: number}
		| {readonly type: 'leaseLapsed'; readonly life: IncarnationId}
	/** The minion is told to stop a run that it has. */
		| {readonly type: 'stopOrdered'; readonly life: IncarnationId; readonly task: TaskId; readonly isAtWork: boolean}
	/** The tasks that are at work now; sampled every 50 to 100 ms. */
		| {readonly type: 'tasksAtWork'; readonly tasks: readonly TaskId[]}
	/** The minion crashes under the task. */
		| {readonly type: 'minionCrashedUnder'; readonly task: TaskId}
		| {readonly type: 'ticketIssued'; readonly step: string; readonly minion: MinionId; readonly ticket: Ticket}
		| {readonly type: 'waveSent'; readonly wave: WaveId; readonly maximumAtOnce: number}
		| {readonly type: 'waveConfirmed'; readonly wave: WaveId}
		| ({readonly type: 'workerOrdered'} & ObservedWorkerOrder)
		| {readonly type: 'upkeepBegun'; readonly worker: WorkerId; readonly wave: WaveId; readonly untilMs: number}
		| {readonly type: 'moveBegun'; readonly worker: WorkerId; readonly pool: PoolId}
	/** Something outside the scheduler is wrong until then. */
		| {readonly type: 'faultSeen'; readonly untilMs: number};

/** The promises that are checked. */
export type Rule
	/** A task runs twice at once, and may not. */
	= | 'twice'
	/** More copies of a task at once than two. */
		| 'copies'
	/** A task starts after it has ended well. */
		| 'afterDone'
	/** A task starts before the steps that it depends on are done. */
		| 'order'
	/** An occurrence starts before it is due. */
		| 'early'
	/** A minion has more than its capacity. */
		| 'room'
	/** A team has more running than its maximum. */
		| 'teamMaximum'
	/** A minion has more tasks of a step than it may. */
		| 'spread'
	/** A minion lacks the label that the step requires. */
		| 'label'
	/** A minion is not of the queue's pool. */
		| 'pool'
	/** A start without the ticket of the advice service. */
		| 'ticket'
	/** A task that nobody submitted, or with another payload. */
		| 'unasked'
	/** A checkpoint that no run of the task has saved. */
		| 'checkpoint'
	/** A task of a job of which all submissions were rejected. */
		| 'refused'
	/** A start long after the job's cancellation was confirmed. */
		| 'afterCancel'
	/** A run long after the job's cancellation was confirmed. */
		| 'runsOn'
	/** A start long after the minion's draining was confirmed. */
		| 'draining'
	/** A start after all attempts have failed. */
		| 'attempts'
	/** A task that crashes its minions is started too often. */
		| 'crashBudget'
	/** A gang member starts beside members of another run. */
		| 'gangRun'
	/** A gang member starts from another checkpoint than the others. */
		| 'gangCheckpoint'
	/** A gang member waits in vain for the others. */
		| 'gangAlone'
	/** A stop while others of the step are unavailable. */
		| 'budget'
	/** An order for a worker ends a task with a disruption budget. */
		| 'evicted'
	/** A worker order of an older leader after one of a newer. */
		| 'staleOrder'
	/** Two holders order one worker within a lease. */
		| 'orderTurn'
	/** Two holders order one worker with the same fencing token. */
		| 'sameToken'
	/** More upkeeps at once than the wave allows. */
		| 'waveBound'
	/** A job is shown as completed, and is not. */
		| 'completed';

/** Time bounds of the promises, in milliseconds. */
export type CheckLimits = {
	/** How much before its time an occurrence may start. */
	readonly earlyMs: number;
	/** How long after the confirmation of a cancellation a task of the job may still start. */
	readonly cancelMs: number;
	/** How long after that it may still run. */
	readonly stopMs: number;
	/** How long after the confirmation that a minion drains a task may still start there. */
	readonly drainMs: number;
	/** How long a former configuration may still be in force after the confirmation of a newer one. */
	readonly configurationMs: number;
	/** How long after a confirmed end another copy may still start. */
	readonly copyMs: number;
	/** How long a task may have been away without counting as unavailable. */
	readonly absenceNoticeMs: number;
	/** How long no other holder may order a worker after an order. */
	readonly orderLeaseMs: number;
	/** How long after a fault hosts may need to be in touch again. */
	readonly contactMs: number;
};

/** What the checks need from their surroundings. */
export type FleetCheckOptions = {
	/** The monotonic time, in milliseconds. */
	readonly getNow: () => number;
	/** The Unix time, in milliseconds. */
	readonly getWallClock: () => number;
	readonly limits?: Partial<CheckLimits>;
	readonly report: (rule: Rule, detail: string) => void;
};
