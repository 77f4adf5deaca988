/** One task that runs on a host that is to be drained. */
export type DrainingTask = {
	readonly task: string;
	readonly elapsedMs: number;
	readonly canCheckpoint: boolean;
	readonly checkpoint: 'none' | 'running' | 'taken';
};

/** What is known of how long tasks like this one run. */
export type LearnedRunTime = {
	readonly sampleCount: number;
	/** Nine of ten such tasks ended within this time. */
	readonly p90Ms: number;
};

/** What the platform is to do with the task. */
export type TaskDrainAction = 'wait' | 'checkpoint' | 'stop';

const minimumSampleCount = 10;

/**
 * Decides whether a task on a host that drains is let finish or is checkpointed. A task is stopped
 * only once its checkpoint has been taken, so that a planned stop never cuts work short.
 *
 * @param input - The task, what is known of its run time, and how long a checkpoint together with
 *   the start from it takes in milliseconds.
 * @returns What to ask of the platform.
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

/** A task past the 90th percentile is expected to run as long again as it has so far. */
function getExpectedRemainingMs({task, learned}: {
	task: DrainingTask;
	learned: LearnedRunTime | undefined;
}): number {
	if (learned === undefined || learned.sampleCount < minimumSampleCount || task.elapsedMs > learned.p90Ms) {
		return task.elapsedMs;
	}

	return learned.p90Ms - task.elapsedMs;
}
