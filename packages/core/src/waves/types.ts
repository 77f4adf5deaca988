/**
 * Maintenance waves: each host of a wave is drained, rebooted and returned once, and no pool's
 * availability budget is ever overdrawn by a planned step.
 */
import type {
	DataCentreId, PoolId, RackId, WallClockMs, WaveId, WorkerId,
} from '@samphiremill/common';
import type {
	HostOwnership, PoolRecord, WaveRecord, WorkerRecord,
} from '../control/types.js';

/** Where a host stands within one wave. */
export type HostPhase
	= | 'pending'
	/** May be drained. Counts against the budget from here on. */
		| 'granted'
	/** The platform has been asked to stop the intake; what runs may finish. */
		| 'draining'
	/** Nothing runs any more, and the platform may be asked for the reboot. */
		| 'rebooting'
		| 'returned'
		| 'failed'
	/** The worker's record was deleted before its turn. */
		| 'removed';

/** Why a host failed within a wave. */
export type HostFailure
	= | 'rebootRefused'
		| 'rebootTimeout'
	/** Went silent shortly after it had been returned. */
		| 'relapsed';

/** One host of a wave. */
export type WaveHost = {
	readonly worker: WorkerId;
	readonly phase: HostPhase;
	/** Counts the grants of this host, so that a command for an earlier grant is told apart. */
	readonly attempt: number;
	/** When the current phase began. */
	readonly changedAtMs: WallClockMs;
	/** When the last grant was given. */
	readonly grantedAtMs?: WallClockMs;
	readonly isRebootAccepted: boolean;
	readonly failure?: HostFailure;
};

/** Where a wave stands. */
export type WavePhase = 'running' | 'paused' | 'aborting' | 'completed' | 'aborted';

/** Why a wave is paused. */
export type PauseReason
	= | {readonly type: 'operator'}
		| {
			readonly type: 'correlatedFailure';
			readonly workers: readonly WorkerId[];
			/** Present where all the failed hosts share one. */
			readonly rack?: RackId;
			readonly dataCentre?: DataCentreId;
		};

/** One wave with its hosts. */
export type WaveState = {
	readonly wave: WaveId;
	readonly phase: WavePhase;
	readonly startedAtMs: WallClockMs;
	readonly endedAtMs?: WallClockMs;
	/** The revision of the operator's record that the wave has followed so far. */
	readonly recordRevision: number;
	readonly pause?: PauseReason;
	/** In order of id, fixed when the wave starts. */
	readonly hosts: readonly WaveHost[];
	/** The latest results since the wave last started or resumed, oldest first. */
	readonly recentResults: readonly HostResult[];
};

/** One host's result, kept to recognise correlated failures. */
export type HostResult = {
	readonly worker: WorkerId;
	readonly isFailure: boolean;
};

/** What is known of a worker: `unknown` covers a cut-off data centre. */
export type HostCondition = 'up' | 'silent' | 'unknown';

/** A committed observation of a host that is not up. */
export type UnavailableHost = {
	readonly worker: WorkerId;
	readonly condition: Exclude<HostCondition, 'up'>;
};

/** The replicated state of all waves. */
export type WavesState = {
	readonly waves: readonly WaveState[];
	/** Hosts that are down or unknown, in order of id. All others count as up. */
	readonly unavailable: readonly UnavailableHost[];
	/** Counts the changes of `unavailable`. */
	readonly observationRevision: number;
};

/** A wave's record with its revision. */
export type VersionedWave = {
	readonly record: WaveRecord;
	readonly revision: number;
};

/** What waves and moves read of the control records. */
export type FleetRecords = {
	readonly pools: readonly PoolRecord[];
	readonly waves: readonly VersionedWave[];
	readonly workers: readonly WorkerRecord[];
	readonly ownership: readonly HostOwnership[];
};

/** Bounds that hold over all waves and moves together. */
export type WavesConfig = {
	readonly maximumHostsAsideFleetWide: number;
	/** So many failures among the latest results pause a wave. */
	readonly correlatedFailureCount: number;
	readonly correlatedFailureWindow: number;
	/** A host that goes silent within this time after its return counts as failed. */
	readonly soakMs: number;
	readonly rebootTimeoutMs: number;
	/** How long one host is expected to be aside before the wave has measured it. */
	readonly expectedCycleMs: number;
};

/** A wave's first command; its hosts are fixed here. */
export type StartWaveCommand = {
	readonly type: 'waves/start';
	readonly wave: WaveId;
	readonly atMs: WallClockMs;
};

/** Commits changes of what the leader sees of hosts. */
export type ObserveHostsCommand = {
	readonly type: 'waves/observeHosts';
	readonly conditions: readonly ObservedHost[];
	readonly atMs: WallClockMs;
};

/** One host's observed condition. */
export type ObservedHost = {
	readonly worker: WorkerId;
	readonly condition: HostCondition;
};

/** Gives a host its turn. */
export type GrantDrainCommand = {
	readonly type: 'waves/grantDrain';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	/** The observations that the planner worked from. */
	readonly observationRevision: number;
	readonly atMs: WallClockMs;
};

/** Moves one host on from the grant that `attempt` names. */
export type AdvanceHostCommand = {
	readonly type:
		/** The budget is no longer there; the host has not been touched. */
		| 'waves/revokeGrant'
		| 'waves/hostDraining'
		/** The budget is no longer there; the host takes work again and waits for another turn. */
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

/** Ends a host's turn without its return. */
export type FailHostCommand = {
	readonly type: 'waves/hostFailed';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly attempt: number;
	readonly failure: HostFailure;
	readonly atMs: WallClockMs;
};

/** Takes a host whose record was deleted out of a wave. */
export type RemoveHostCommand = {
	readonly type: 'waves/hostRemoved';
	readonly wave: WaveId;
	readonly worker: WorkerId;
	readonly atMs: WallClockMs;
};

/** Makes a wave follow its record. */
export type FollowRecordCommand = {
	readonly type: 'waves/pause' | 'waves/resume' | 'waves/abort';
	readonly wave: WaveId;
	/** The revision of the record that asks for it. */
	readonly recordRevision: number;
	readonly atMs: WallClockMs;
};

/** Drops a wave whose record was deleted and which holds no host aside. */
export type ForgetWaveCommand = {
	readonly type: 'waves/forget';
	readonly wave: WaveId;
};

/** Every command over waves. */
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

/** What became of a command. */
export type WaveAnswer
	= | {readonly type: 'applied'}
		| {readonly type: 'rejected'; readonly reason: WaveRejection; readonly message: string};

/** The next state and what became of the command. */
export type WaveCommandResult = {
	readonly state: WavesState;
	readonly answer: WaveAnswer;
};

/** What an action gets: one command, and all that its conditions are checked against. */
export type WaveInput<Command extends WaveCommand = WaveCommand> = {
	readonly state: WavesState;
	readonly command: Command;
	readonly records: FleetRecords;
	readonly cfg: WavesConfig;
};

/** What the leader sees of one worker. `FleetView` of `membership` has this form. */
export type ObservedWorker = ObservedHost & {
	/** When a minion of the worker was last known to be alive, on the leader's monotonic clock. */
	readonly lastSeenAtMs: number;
};

/** What the leader sees of the fleet. A worker that is absent is unknown. */
export type WavesFleet = {
	readonly workers: readonly ObservedWorker[];
};

/** What the platform said last of a host that is aside. */
export type PlatformHost = {
	readonly worker: WorkerId;
	readonly intake: 'open' | 'closed';
	readonly runningTasks: number;
	/** The latest reboot that was asked for. */
	readonly reboot?: PlatformReboot;
};

/** One reboot as the platform tells of it. */
export type PlatformReboot = {
	readonly id: string;
	readonly state: 'running' | 'finished' | 'failed';
	/** When the leader first saw it finished, on the leader's monotonic clock. */
	readonly finishedSeenAtMs?: number;
};

/** All that a step of planning reads. */
export type PlanWaveInput = {
	readonly control: {readonly waves: WavesState; readonly records: FleetRecords};
	readonly fleet: WavesFleet;
	readonly platform: readonly PlatformHost[];
	readonly nowMs: WallClockMs;
	readonly cfg: WavesConfig;
	/** Which order hosts are taken in; by failure domain unless a bench compares others. */
	readonly orderHosts?: OrderHosts;
};

/** A host that could have its turn now. */
export type DrainCandidate = {
	readonly wave: WaveId;
	readonly worker: WorkerRecord;
	readonly pool: PoolId;
};

/** Orders the hosts that could have their turn, the first to be granted first. */
export type OrderHosts = (input: {
	readonly candidates: readonly DrainCandidate[];
	readonly control: PlanWaveInput['control'];
}) => readonly DrainCandidate[];
