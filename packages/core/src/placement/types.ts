/**
 * The data types for choosing a minion for a job.
 */
import type {MinionId, WorkerId} from '@samphiremill/common';

/** The resources that a job uses on a worker, as far as known. */
export type TaskSize = {
	readonly cores: number;
	readonly memoryMb: number;
};

/** A minion that may be chosen for a job. */
export type Candidate = {
	readonly minion: MinionId;
	readonly worker: WorkerId;
	readonly rack: string;
	readonly usedSlots: number;
	readonly heldSlots: number;
	readonly freeCores: number;
	readonly freeMemoryMb: number;
	/** Consecutive failures on the worker. */
	readonly failuresInRow: number;
};

/** The requirements of a placement. */
export type PlacementRequest = {
	readonly size: TaskSize;
	/** Workers on which the job has failed; they are chosen only if there is no other. */
	readonly avoidedWorkers: readonly WorkerId[];
	/** Returns how many jobs the team already runs in a rack, to spread its jobs over failure domains. */
	readonly getTeamUsageOfRack: (rack: string) => number;
};

/** The chosen minion, and how many candidates were compared. */
export type PlacementChoice = {
	readonly candidate: Candidate;
	readonly compared: number;
};
