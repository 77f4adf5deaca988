/**
 * Choosing a minion for a job.
 */
import type {MinionId, WorkerId} from '@samphiremill/common';

/** What a job takes of a worker, as far as it is known. */
export type TaskSize = {
	readonly cores: number;
	readonly memoryMb: number;
};

/** A minion that could take one more job. */
export type Candidate = {
	readonly minion: MinionId;
	readonly worker: WorkerId;
	readonly rack: string;
	readonly usedSlots: number;
	readonly heldSlots: number;
	readonly freeCores: number;
	readonly freeMemoryMb: number;
	/** Failures in a row on the worker. */
	readonly failuresInRow: number;
};

/** What a placement asks for. */
export type PlacementRequest = {
	readonly size: TaskSize;
	/** Workers on which the job has failed; they come last. */
	readonly avoidedWorkers: readonly WorkerId[];
	/** How much the team already runs in a rack, to spread it over failure domains. */
	readonly getTeamUsageOfRack: (rack: string) => number;
};

/** The chosen minion, and how many were compared for it. */
export type PlacementChoice = {
	readonly candidate: Candidate;
	readonly compared: number;
};
