/**
 * Maintenance waves. Each host of a wave is drained, rebooted and returned to service once. No planned step
 * exceeds the availability budget of a pool.
 */
import type {
	DataCentreId, PoolId, RackId, WallClockMs, WaveId, WorkerId,
} from '@samphiremill/common';
import type {
	HostOwnership, PoolRecord, WaveRecord, WorkerRecord,
} from '../control/types.js';

/** The phase of a host within one wave. */
export type HostPhase
	= | 'pending'
	/** May be drained. The host counts against its pool's budget from this phase on. */
		| 'granted'
	/** The platform was asked to close the host's intake of new tasks. Running tasks may finish. */
		| 'draining'
	/** No task runs on the host, and the platform may be asked to reboot it. */
		| 'rebooting'
		| 'returned'
		| 'failed'
	/** The worker's record was deleted before the host had returned. */
		| 'removed';

/** Why a host failed within a wave. */
export type HostFailure
	= | 'rebootRefused'
		| 'rebootTimeout'
	/** The host became silent shortly after its return. */
		| 'relapsed';

/** One host of a wave. */
export type WaveHost = {
	readonly worker: WorkerId;
	readonly phase: HostPhase;
	/** The number of grants to this host. It identifies commands that refer to an earlier grant. */
	readonly attempt: number;
	/** When the current phase began. */
	readonly changedAtMs: WallClockMs;
	/** The time of the last grant. */
	readonly grantedAtMs?: WallClockMs;
	readonly isRebootAccepted: boolean;
	readonly failure?: HostFailure;
};

/** The phase of a wave. */
export type WavePhase = 'running' | 'paused' | 'aborting' | 'completed' | 'aborted';

/** Why a wave is paused. */
export type PauseReason
	= | {readonly type: 'operator'}
		| {
			readonly type: 'correlatedFailure';
			readonly workers: readonly WorkerId[];
			/** Present when all failed hosts are in the same rack. */
			readonly rack?: RackId;
			readonly dataCentre?: DataCentreId;
		};

/** One wave with its hosts. */
export type WaveState = {
	readonly wave: WaveId;
	readonly phase: WavePhase;
	readonly startedAtMs: WallClockMs;
	readonly endedAtMs?: WallClockMs;
	/** The revision of the operator's record that was applied last. */
	readonly recordRevision: number;
	readonly pause?: PauseReason;
	/** Sorted by id, fixed when the wave starts. */
	readonly hosts: readonly WaveHost[];
	/** The latest results since the wave last started or resumed, oldest first. */
	readonly recentResults: readonly HostResult[];
};

/** The result of one host, used to detect correlated failures. */
export type HostResult = {
	readonly worker: WorkerId;
	readonly isFailure: boolean;
};

/** The observed condition of a worker. `unknown` includes a worker in an unreachable data centre. */
export type HostCondition = 'up' | 'silent' | 'unknown';

/** A committed observation of a host that is not up. */
export type UnavailableHost = {
	readonly worker: WorkerId;
	readonly condition: Exclude<HostCondition, 'up'>;
};

/** The replicated state of all waves. */
export type WavesState = {
	readonly waves: readonly WaveState[];
	/** Hosts that are down or unknown, sorted by id. All other hosts count as up. */
	readonly unavailable: readonly UnavailableHost[];
	/** The number of changes of `unavailable`. */
	readonly observationRevision: number;
};

/** A wave record with its revision. */
export type VersionedWave = {
	readonly record: WaveRecord;
	readonly revision: number;
};

/** The control records that waves and moves read. */
export type FleetRecords = {
	readonly pools: readonly PoolRecord[];
	readonly waves: readonly VersionedWave[];
	readonly workers: readonly WorkerRecord[];
	readonly ownership: readonly HostOwnership[];
};

/** Limits that apply to all waves and moves together. */
export type WavesConfig = {
	readonly maximumHostsAsideFleetWide: number;
	/** The number of failures among the latest results that pauses a wave. */
	readonly correlatedFailureCount: number;
	/** The number of latest results that are examined for failures. */
	readonly correlatedFailureWindow: number;
	/** A host that becomes silent within this time after its return counts as failed. */
	readonly soakMs: number;
	readonly rebootTimeoutMs: number;
	/** The expected time from grant to return of one host, used until the wave has measured it. */
	readonly expectedCycleMs: number;
};

/** Starts a wave and fixes its hosts. */
export type StartWaveCommand = {
	readonly type: 'waves/start';
	readonly wave: WaveId;
	readonly atMs: WallClockMs;
};

/** Commits changes of the host conditions that the leader observes. */
export type ObserveHostsCommand = {
	readonly type: 'waves/observeHosts';
	readonly conditions: readonly ObservedHost[];
	readonly atMs: WallClockMs;
};

/** The observed condition of one host. */
export type ObservedHost = {
	readonly worker: WorkerId;
	readonly condition: HostCondition;
};

/** Grants the drain of a host. */
export type GrantDrainCommand = {
	readonly type: 'waves/grantDrain';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	/** The revision of the observations that the planner used. */
	readonly observationRevision: number;
	readonly atMs: WallClockMs;
};

/** Advances one host to its next phase under the grant that `attempt` identifies. */
export type AdvanceHostCommand = {
	readonly type:
		/** The budget is used up. The drain of the host has not started. */
		| 'waves/revokeGrant'
		| 'waves/hostDraining'
		/** The budget is used up. The host accepts work again and waits for another grant. */
		| 'waves/recallDrain'
		| 'waves/hostDrained'
		/** The platform accepted the reboot. */
		| 'waves/hostRebooting'
		| 'waves/hostReturned';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly attempt: number;
	readonly atMs: WallClockMs;
};

/** Marks a host as failed. */
export type FailHostCommand = {
	readonly type: 'waves/hostFailed';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly attempt: number;
	readonly failure: HostFailure;
	readonly atMs: WallClockMs;
};

/** Removes a host whose record was deleted from a wave. */
export type RemoveHostCommand = {
	readonly type: 'waves/hostRemoved';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly atMs: WallClockMs;
};

/** Applies the desired state in a wave's record to the wave. */
export type FollowRecordCommand = {
	readonly type: 'waves/pause' | 'waves/resume' | 'waves/abort';
	readonly wave: WaveId;
	/** The revision of the record that requests this command. */
	readonly recordRevision: number;
	readonly atMs: WallClockMs;
};

/** Deletes a wave whose record was deleted and which has no host aside. */
export type ForgetWaveCommand = {
	readonly type: 'waves/forget';
	readonly wave: WaveId;
};

/** A command on waves. */
export type WaveCommand
	= | StartWaveCommand
		| ObserveHostsCommand
		| GrantDrainCommand
		| AdvanceHostCommand
		| FailHostCommand
		| RemoveHostCommand
		| FollowRecordCommand
		| ForgetWaveCommand;

/** Why a command had no effect. */
export type WaveRejection
	= | 'unknownWave'
		| 'unknownHost'
		| 'alreadyStarted'
		| 'notStartable'
		| 'notRunning'
		| 'wrongPhase'
		| 'staleAttempt'
		| 'staleObservation'
		| 'staleRecord'
		| 'hostUnavailable'
		| 'hostMoving'
		| 'hostInOtherWave'
		| 'budgetExceeded'
		| 'waveBoundReached'
		| 'fleetBoundReached'
		| 'hostsAside';

/** Whether a command was applied. */
export type WaveAnswer
	= | {readonly type: 'applied'}
		| {readonly type: 'rejected'; readonly reason: WaveRejection; readonly message: string};

/** The next state, and whether the command was applied. */
export type WaveCommandResult = {
	readonly state: WavesState;
	readonly answer: WaveAnswer;
};

/** The input of an action: one command, and the data that its conditions are checked against. */
export type WaveInput<Command extends WaveCommand = WaveCommand> = {
	readonly state: WavesState;
	readonly command: Command;
	readonly records: FleetRecords;
	readonly cfg: WavesConfig;
};

/** A worker as the leader observes it. The workers of `FleetView` in `membership` have this form. */
export type ObservedWorker = ObservedHost & {
	/** When a minion of the worker was last known to be alive, on the leader's monotonic clock. */
	readonly lastSeenAtMs: number;
};

/** The fleet as the leader observes it. A worker that is missing has the condition `unknown`. */
export type WavesFleet = {
	readonly workers: readonly ObservedWorker[];
};

/** The last report of the platform about a host that is aside. */
export type PlatformHost = {
	readonly worker: WorkerId;
	readonly intake: 'open' | 'closed';
	readonly runningTasks: number;
	/** The latest reboot that was requested. */
	readonly reboot?: PlatformReboot;
};

/** A reboot as the platform reports it. */
export type PlatformReboot = {
	readonly id: string;
	readonly state: 'running' | 'finished' | 'failed';
	/** When the leader first saw the reboot finished, on the leader's monotonic clock. */
	readonly finishedSeenAtMs?: number;
};

/** The input of one planning step. */
export type PlanWaveInput = {
	readonly control: {readonly waves: WavesState; readonly records: FleetRecords};
	readonly fleet: WavesFleet;
	readonly platform: readonly PlatformHost[];
	readonly nowMs: WallClockMs;
	readonly cfg: WavesConfig;
	/** The order in which hosts are granted. Defaults to the order by failure domain; benchmarks pass others. */
	readonly orderHosts?: OrderHosts;
};

/** A host that may be granted now. */
export type DrainCandidate = {
	readonly wave: WaveId;
	readonly worker: WorkerRecord;
	readonly pool: PoolId;
};

/** Sorts the hosts that may be granted; the first of them is granted first. */
export type OrderHosts = (input: {
	readonly candidates: readonly DrainCandidate[];
	readonly control: PlanWaveInput['control'];
}) => readonly DrainCandidate[];
