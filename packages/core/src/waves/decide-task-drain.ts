/** A task that runs on a host that is to be drained. */
export type DrainingTask = {
	readonly task: string;
	readonly elapsedMs: number;
	readonly canCheckpoint: boolean;
	readonly checkpoint: 'none' | 'running' | 'taken';
};

/** The observed run times of similar tasks. */
export type LearnedRunTime = {
	readonly sampleCount: number;
	/** The 90th percentile of the run times, in milliseconds. */
	readonly p90Ms: number;
};

/** The action that the platform is asked to take on the task. */
export type TaskDrainAction = 'wait' | 'checkpoint' | 'stop';

const minimumSampleCount = 10;

/**
 * Decides whether a task on a draining host may finish or is checkpointed. A task is stopped only after its
 * checkpoint was taken, so that a planned stop loses no work.
 *
 * @param input - `checkpointCostMs` is the time that the checkpoint and the start from it take together.
 */
export function decideTaskDrain({task, learned, checkpointCostMs}: {
	task: DrainingTask;
	learned: LearnedRunTime | undefined;
	checkpointCostMs: number;
}): TaskDrainAction {
	switch (task.checkpoint) {
		case 'taken': {
			return 'stop';
		}

		case 'running': {
			return 'wait';
		}

		case 'none': {
			const isWorthIt = getExpectedRemainingMs({task, learned}) > checkpointCostMs;
			return task.canCheckpoint && isWorthIt ? 'checkpoint' : 'wait';
		}
	}
}

/** Expects a task with few samples, or past the 90th percentile, to run as long again as it has run so far. */
function getExpectedRemainingMs({task, learned}: {
	task: DrainingTask;
	learned: LearnedRunTime | undefined;
}): number {
	if (learned === undefined || learned.sampleCount < minimumSampleCount || task.elapsedMs > learned.p90Ms) {
		return task.elapsedMs;
	}

	return learned.p90Ms - task.elapsedMs;
}
