/**
 * The interface of the platform that runs the hosts, as the daemon uses it.
 */
import type {Finding, Result, WorkerId} from '@samphiremill/common';

/** One task that runs on a host. */
export type PlatformTask = {
	readonly task: string;
	/** The kind of task; run times are learned per kind. */
	readonly kind: string;
	readonly elapsedMs: number;
	readonly canCheckpoint: boolean;
	readonly checkpoint: 'none' | 'running' | 'taken';
};

/** One host as the platform knows it. */
export type PlatformHostState = {
	readonly host: WorkerId;
	/** While it is `closed`, the host's minions take no new work. */
	readonly intake: 'open' | 'closed';
	readonly tasks: readonly PlatformTask[];
	/** The reboot that was requested last. */
	readonly reboot?: {readonly id: string; readonly state: 'running' | 'finished' | 'failed'};
};

/** Why a call to the platform failed. */
export type PlatformError
	/** No answer in time; the platform may have executed the call. */
	= | {readonly type: 'noAnswer'; readonly message: string}
		| {readonly type: 'refused'; readonly status: number; readonly message: string}
		| {readonly type: 'malformed'; readonly findings: readonly Finding[]};

/** The result of one call. */
export type PlatformResult<Value> = Promise<Result<Value, PlatformError>>;

/** The platform's interface. All calls are idempotent. */
export type PlatformClient = {
	readonly getHost: (host: WorkerId) => PlatformResult<PlatformHostState>;
	/** Lists the hosts whose intake this system closed, whichever leader did. */
	readonly listClosedHosts: () => PlatformResult<readonly WorkerId[]>;
	readonly setIntake: (host: WorkerId, intake: 'open' | 'closed') => PlatformResult<void>;
	/** Reboots the host once per id. */
	readonly reboot: (host: WorkerId, id: string) => PlatformResult<void>;
	readonly checkpointTask: (host: WorkerId, task: string) => PlatformResult<void>;
	/** Limits the task to a share of its processors, from 0 to 1. */
	readonly throttleTask: (input: {host: WorkerId; task: string; share: number}) => PlatformResult<void>;
	readonly stopTask: (host: WorkerId, task: string) => PlatformResult<void>;
	readonly close: () => Promise<void>;
};
