/**
 * Has runs that stand still or are left behind started again elsewhere, or copied where that is allowed.
 */
import {
	findTask, getStep, type Ledger, type LifeId, type Task, type TaskId,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {MinionSession} from './minion-session.js';
import {createStragglerWatch, type Straggler, type StragglerWatch} from './straggler-watch.js';

/** The slow runs of one leader. */
export type RunHastener = Pick<StragglerWatch, 'noteDone'> & {
	/** Judges all runs and hastens the slow ones. */
	readonly look: (sessions: Iterable<MinionSession>) => void;
	/** Notes that a task is better not run on a life again. */
	readonly avoid: (task: TaskId, life: LifeId) => void;
	/** Lives on which a task is better not run again. */
	readonly getAvoided: (task: TaskId) => ReadonlySet<LifeId> | undefined;
	/** Tasks that get a copy. */
	readonly listWantedCopies: () => readonly Task[];
	/** Forgets tasks that are over. */
	readonly forgetTasks: () => void;
	/** Forgets steps of jobs that are over. */
	readonly forgetSteps: () => void;
};

// Counts as a run that takes this many times what it takes elsewhere.
const stalledSlowness = 10;

/**
 * @param options - The ledger and the log.
 * @returns The hastener.
 */
export function createRunHastener({getLedger, log}: {readonly getLedger: () => Ledger; readonly log: StructuredLogger}): RunHastener {
	/** Where tasks failed or were slow, until they are over. */
	const failedLives = new Map<TaskId, ReadonlySet<LifeId>>();
	/** Tasks whose run was ended or copied once for being slow; they may just be long. */
	const hastened = new Set<TaskId>();
	const wantedCopies = new Set<TaskId>();
	const watch = createStragglerWatch({getLedger});

	const avoidLife = (task: TaskId, life: LifeId) => {
		failedLives.set(task, new Set([...failedLives.get(task) ?? [], life]));
	};

	const hasten = ({session, task: id, ...judgement}: Straggler) => {
		const task = findTask(getLedger(), id);
		if (task === undefined || hastened.has(id) || task.job.status !== 'active' || task.runs.length !== 1) {
			return;
		}

		hastened.add(id);
		avoidLife(id, session.record.life);
		if (judgement.verdict === 'stalled') {
			session.notePace(stalledSlowness);
		}

		const hasCopy = getStep(task).allowsCopies;
		log.info(`task ${id} is ${judgement.verdict} and ${hasCopy ? 'gets a copy' : 'starts again elsewhere'}`, {
			id, minion: session.record.minion, ...judgement,
		});
		if (hasCopy) {
			wantedCopies.add(id);
		} else {
			session.stop(id, `it is ${judgement.verdict}`);
		}
	};

	const forgetTasks = () => {
		for (const id of [...hastened, ...wantedCopies, ...failedLives.keys()]) {
			const task = findTask(getLedger(), id);
			if (task === undefined || task.isDone) {
				hastened.delete(id);
				wantedCopies.delete(id);
				failedLives.delete(id);
			} else if (task.runs.length !== 1) {
				wantedCopies.delete(id);
			}
		}
	};

	return {
		noteDone: watch.noteDone,
		look(sessions) {
			for (const straggler of watch.look(sessions)) {
				hasten(straggler);
			}
		},
		avoid: avoidLife,
		getAvoided: task => failedLives.get(task),
		listWantedCopies: () => [...wantedCopies]
			.map(id => findTask(getLedger(), id))
			.filter(task => task !== undefined),
		forgetTasks,
		forgetSteps: watch.forget,
	};
}
