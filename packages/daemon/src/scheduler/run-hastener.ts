/**
 * Has runs that stand still or are left behind started again elsewhere, or copied where that is allowed.
 */
import {
	findTask, getStep, type Ledger, type IncarnationId, type Task, type TaskId,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {MinionSession} from './minion-session.js';
import {createStragglerDetector, type Straggler, type StragglerDetector} from './straggler-watch.js';

/** The slow runs of one leader. */
export type StragglerMitigator = Pick<StragglerDetector, 'noteDone'> & {
	/** Judges all runs and hastens the slow ones. */
	readonly checkRuns: (sessions: Iterable<MinionSession>) => void;
	/** Notes that a task is better not run on a life again. */
	readonly avoidIncarnation: (task: TaskId, life: IncarnationId) => void;
	/** Lives on which a task is better not run again. */
	readonly getAvoidedIncarnations: (task: TaskId) => ReadonlySet<IncarnationId> | undefined;
	/** Tasks that get a copy. */
	readonly listTasksToCopy: () => readonly Task[];
	/** Forgets tasks that are over. */
	readonly pruneTasks: () => void;
	/** Forgets steps of jobs that are over. */
	readonly pruneSteps: () => void;
};

// Counts as a run that takes this many times what it takes elsewhere.
const stalledSlowness = 10;

/**
 * @param options - The ledger and the log.
 * @returns The hastener.
 */
export function createStragglerMitigator({getLedger, log}: {readonly getLedger: () => Ledger; readonly log: StructuredLogger}): StragglerMitigator {
	/** Where tasks failed or were slow, until they are over. */
	const avoidedIncarnations = new Map<TaskId, ReadonlySet<IncarnationId>>();
	/** Tasks whose run was ended or copied once for being slow; they may just be long. */
	const mitigatedTasks = new Set<TaskId>();
	const tasksToCopy = new Set<TaskId>();
	const detector = createStragglerDetector({getLedger});

	const addAvoidedIncarnation = (task: TaskId, life: IncarnationId) => {
		avoidedIncarnations.set(task, new Set([...avoidedIncarnations.get(task) ?? [], life]));
	};

	const mitigate = ({session, task: id, ...judgement}: Straggler) => {
		const task = findTask(getLedger(), id);
		if (task === undefined || mitigatedTasks.has(id) || task.job.status !== 'active' || task.runs.length !== 1) {
			return;
		}

		mitigatedTasks.add(id);
		addAvoidedIncarnation(id, session.record.life);
		if (judgement.verdict === 'stalled') {
			session.recordSlowness(stalledSlowness);
		}

		const shouldCopy = getStep(task).allowsCopies;
		log.info(`task ${id} is ${judgement.verdict} and ${shouldCopy ? 'gets a copy' : 'starts again elsewhere'}`, {
			id, minion: session.record.minion, ...judgement,
		});
		if (shouldCopy) {
			tasksToCopy.add(id);
		} else {
			session.stop(id, `it is ${judgement.verdict}`);
		}
	};

	const forgetTasks = () => {
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
		pruneTasks: forgetTasks,
		pruneSteps: detector.forget,
	};
}
