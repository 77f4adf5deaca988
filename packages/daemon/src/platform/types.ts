/**
 * What the daemon asks of the platform that runs the hosts.
 */
import type {Finding, Result, WorkerId} from '@samphiremill/common';

/** One task that runs on a host. */
export type PlatformTask = {
	readonly task: string;
	/** What kind of task it is; run times are learned for each kind. */
	readonly kind: string;
	readonly elapsedMs: number;
	readonly canCheckpoint: boolean;
	readonly checkpoint: 'none' | 'running' | 'taken';
};

/** One host as the platform knows it. */
export type PlatformHostState = {
	readonly host: WorkerId;
	/** Closed: the host's minions take no new work. */
	readonly intake: 'open' | 'closed';
	readonly tasks: readonly PlatformTask[];
	/** The latest reboot that was asked for. */
	readonly reboot?: {readonly id: string; readonly state: 'running' | 'finished' | 'failed'};
};

/** Why the platform did not do what it was asked. */
export type PlatformError
	/** No answer in time: the platform may have done it. */
	= | {readonly type: 'noAnswer'; readonly message: string}
		| {readonly type: 'refused'; readonly status: number; readonly message: string}
		| {readonly type: 'malformed'; readonly findings: readonly Finding[]};

/** What became of one call. */
export type PlatformResult<Value> = Promise<Result<Value, PlatformError>>;

/** The platform's interface. Every call may be repeated without further effect. */
export type PlatformClient = {
	readonly getHost: (host: WorkerId) => PlatformResult<PlatformHostState>;
	/** The hosts whose intake this system closed, under whichever leader. */
	readonly listClosedHosts: () => PlatformResult<readonly WorkerId[]>;
	readonly setIntake: (host: WorkerId, intake: 'open' | 'closed') => PlatformResult<void>;
	/** Reboots the host once for each id. */
	readonly reboot: (host: WorkerId, id: string) => PlatformResult<void>;
	readonly checkpointTask: (host: WorkerId, task: string) => PlatformResult<void>;
	/** Lets the task use this part of its processors, from 0 to 1. */
	readonly throttleTask: (input: {host: WorkerId; task: string; share: number}) => PlatformResult<void>;
	readonly stopTask: (host: WorkerId, task: string) => PlatformResult<void>;
	readonly close: () => Promise<void>;
};
