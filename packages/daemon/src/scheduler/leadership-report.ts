/**
 * Reports the leadership as seen by one control host, as gauges, and as one log line a check while no leader acts.
 */
import type {StructuredLogger} from '../runtime/types.js';
import {leadershipCheckPeriodMs} from './constants.js';
import {
	createLeadershipWatch, observeLeadership, type LeadershipObservation, type LeadershipStatus,
} from './leadership-status.js';
import type {SchedulerMetrics} from './metrics.js';

/** Reports on the leadership. */
export type LeadershipReport = {
	/** Takes in an observation, at intervals of `leadershipCheckPeriodMs`. */
	readonly record: (observation: LeadershipObservation) => void;
	/** Returns the newest status; `undefined` before the first observation. */
	readonly getStatus: () => LeadershipStatus | undefined;
};

const toFlag = (isTrue: boolean) => isTrue ? 1 : 0;

const createGauges = ({role, term, isVoter, obstacle, withoutLeaderMs, voters}: LeadershipStatus) => new Map(Object.entries({
	term,
	voter: toFlag(isVoter),
	leads: toFlag(role === 'leader'),
	acts: toFlag(role === 'leader' && obstacle === undefined),
	withoutLeaderMs,
	voters: voters.length,
	linkedVoters: voters.filter(({isLinked}) => isLinked).length,
}).map(([kind, value]) => [`kind="${kind}"`, value] as const));

/** Creates a report without any observation. */
export function createLeadershipReport({log, metrics, nowMs}: {
	readonly log: StructuredLogger;
	readonly metrics: SchedulerMetrics;
	/** Monotonic time in milliseconds. */
	readonly nowMs: number;
}): LeadershipReport {
	let watch = createLeadershipWatch(nowMs);
	let status: LeadershipStatus | undefined;
	let wasLogged = false;

	const logStatus = ({withoutLeaderMs, ...details}: LeadershipStatus, previousMs: number) => {
		if (details.obstacle !== undefined && withoutLeaderMs >= leadershipCheckPeriodMs) {
			wasLogged = true;
			log.warn(`no leader has acted for ${Math.round(withoutLeaderMs)} ms: ${details.obstacle}`, {...details, withoutLeaderMs: Math.round(withoutLeaderMs)});
		} else if (details.obstacle === undefined && wasLogged) {
			wasLogged = false;
			log.info(`a leader acts again after ${Math.round(previousMs)} ms`, {leader: details.leader, term: details.term});
		}
	};

	return {
		record(observation) {
			const previousMs = observation.nowMs - watch.ledAtMs;
			const observed = observeLeadership(watch, observation);
			watch = observed.watch;
			status = observed.status;
			metrics.setGauges('control_host', createGauges(status));
			logStatus(status, previousMs);
		},
		getStatus: () => status,
	};
}
