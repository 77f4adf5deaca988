/**
 * Restarts stalled and straggling runs on another minion, or starts a second copy of them where the step allows copies.
 */
import {
	findTask, getStep, type Ledger, type IncarnationId, type Task, type TaskId,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {MinionSession} from './minion-session.js';
import {createStragglerDetector, type Straggler, type StragglerDetector} from './straggler-detector.js';

/** The straggler handling of one leader. */
export type StragglerMitigator = Pick<StragglerDetector, 'recordCompletion'> & {
	/** Assesses all runs and restarts or copies the slow ones. */
	readonly checkRuns: (sessions: Iterable<MinionSession>) => void;
	/** Records that a task should preferably not run on an incarnation again. */
	readonly avoidIncarnation: (task: TaskId, life: IncarnationId) => void;
	/** Returns the incarnations on which a task should preferably not run again. */
	readonly getAvoidedIncarnations: (task: TaskId) => ReadonlySet<IncarnationId> | undefined;
	/** Lists the tasks that need a second copy. */
	readonly listTasksToCopy: () => readonly Task[];
	/** Drops the state of tasks that have ended. */
	readonly pruneTasks: () => void;
	/** Drops the state of steps whose jobs have ended. */
	readonly pruneSteps: () => void;
};

// A stalled run counts as a run that takes this many times as long as its peers.
const stalledSlowness = 10;

export function createStragglerMitigator({getLedger, log}: {readonly getLedger: () => Ledger; readonly log: StructuredLogger}): StragglerMitigator {
	/** Incarnations on which tasks failed, were refused or were slow, until the tasks end. */
	const avoidedIncarnations = new Map<TaskId, ReadonlySet<IncarnationId>>();
	/** Tasks whose run was restarted or copied once. It is not done again: the task may simply be long. */
	const mitigatedTasks = new Set<TaskId>();
	const tasksToCopy = new Set<TaskId>();
	const detector = createStragglerDetector({getLedger});

	const addAvoidedIncarnation = (task: TaskId, life: IncarnationId) => {
		avoidedIncarnations.set(task, new Set([...avoidedIncarnations.get(task) ?? [], life]));
	};

	const mitigate = ({session, task: id, ...assessment}: Straggler) => {
		const task = findTask(getLedger(), id);
		if (task === undefined || mitigatedTasks.has(id) || task.job.status !== 'active' || task.runs.length !== 1) {
			return;
		}

		mitigatedTasks.add(id);
		addAvoidedIncarnation(id, session.record.life);
		if (assessment.verdict === 'stalled') {
			session.recordSlowness(stalledSlowness);
		}

		const {allowsCopies, isGang} = getStep(task);
		const shouldCopy = allowsCopies && !isGang;
		log.info(`task ${id} is ${assessment.verdict} and ${shouldCopy ? 'gets a copy' : 'starts again elsewhere'}`, {
			id, minion: session.record.minion, ...assessment,
		});
		if (shouldCopy) {
			tasksToCopy.add(id);
		} else {
			session.stop(id, `it is ${assessment.verdict}`);
		}
	};

	const pruneTasks = () => {
		for (const id of [...mitigatedTasks, ...tasksToCopy, ...avoidedIncarnations.keys()]) {
			const task = findTask(getLedger(), id);
			if (task === undefined || task.isDone) {
				mitigatedTasks.delete(id);
				tasksToCopy.delete(id);
				avoidedIncarnations.delete(id);
			} else if (task.runs.length !== 1) {
				tasksToCopy.delete(id);
			}
		}
	};

	return {
		recordCompletion: detector.recordCompletion,
		checkRuns(sessions) {
			for (const straggler of detector.findStragglers(sessions)) {
				mitigate(straggler);
			}
		},
		avoidIncarnation: addAvoidedIncarnation,
		getAvoidedIncarnations: task => avoidedIncarnations.get(task),
		listTasksToCopy: () => [...tasksToCopy]
			.map(id => findTask(getLedger(), id))
			.filter(task => task !== undefined),
		pruneTasks,
		pruneSteps: detector.pruneSteps,
	};
}
