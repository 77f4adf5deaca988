/**
 * What callers and the operator see: configurations, jobs and their states.
 */
import {isStepDone} from './fleet-view.js';
import type {CheckContext, Handlers, ObservationOf} from './handlers.js';

type JobObservation
	= | 'configurationSent' | 'configurationConfirmed' | 'jobSubmitted' | 'jobAnswered' | 'cancelSent' | 'cancelConfirmed' | 'jobShown' | 'ticketIssued' | 'faultSeen';

/**
 * Creates the handlers of what callers see.
 *
 * @param context - The view and the surroundings.
 * @returns The handlers.
 */
export function createJobHandlers({view, getNow, report}: CheckContext): Handlers<JobObservation> {
	const checkCompleted = ({job, state}: ObservationOf<'jobShown'>) => {
		const specification = view.jobs.get(job)?.specification;
		if (state !== 'completed' || specification === undefined) {
			return;
		}

		const occurrences = Array.from({length: specification.schedule?.count ?? 1}, (_, occurrence) => occurrence);
		const steps = occurrences.flatMap(occurrence => specification.steps.map((_, step) => ({job, occurrence, step})));
		const open = steps.find(step => !isStepDone(view, step));
		if (open !== undefined) {
			report('completed', `${job} while step ${open.occurrence}.${open.step} is not done`);
		}
	};

	return {
		configurationSent({configuration}) {
			view.configurations.push({configuration, confirmedAtMs: undefined});
		},
		configurationConfirmed({version}) {
			for (const sent of view.configurations.filter(({configuration}) => configuration.version === version)) {
				sent.confirmedAtMs ??= getNow();
			}
		},
		jobSubmitted({job, queue, team, specification}) {
			const openSubmissions = (view.jobs.get(job)?.openSubmissions ?? 0) + 1;
			view.jobs.set(job, {
				queue, team, specification, isCancelSent: false, cancelledAtMs: undefined, ...view.jobs.get(job), openSubmissions,
			});
		},
		jobAnswered({job, isRejected}) {
			const known = view.jobs.get(job);
			if (known !== undefined && isRejected) {
				known.openSubmissions -= 1;
			}
		},
		cancelSent({job}) {
			const known = view.jobs.get(job);
			if (known !== undefined) {
				known.isCancelSent = true;
			}
		},
		cancelConfirmed({job}) {
			const known = view.jobs.get(job);
			if (known !== undefined) {
				known.cancelledAtMs ??= getNow();
			}
		},
		jobShown: checkCompleted,
		ticketIssued({step, minion, ticket}) {
			const name = `${step} ${minion}`;
			view.tickets.set(name, new Map([...view.tickets.get(name) ?? [], [ticket, getNow()]]));
		},
		faultSeen({untilMs}) {
			view.faultUntilMs = Math.max(view.faultUntilMs, untilMs);
		},
	};
}
