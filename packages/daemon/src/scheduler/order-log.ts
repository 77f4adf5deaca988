/**
 * Logs how each order of an operator, and each leave of a minion, was answered, with the time of each attempt to reach the leader.
 */
import type {NodeId, TimerService} from '@samphiremill/common';
import type {StructuredLogger} from '../runtime/types.js';
import type {CallAttempt} from './cluster-client.js';
import type {SchedulerLatency, SchedulerMetrics} from './metrics.js';
import type {ClusterAnswer, ClusterCall} from './types.js';

/** The attempts of one order that are logged one by one; the others are counted. */
const maximumLoggedAttempts = 8;

/** What a control host knows of the lead. */
export type LeadKnowledge = {
	readonly role: string;
	readonly term: number;
	readonly leader: NodeId | undefined;
	/** Whether this host does the duties of the leader. */
	readonly hasDuties: boolean;
};

/** Follows one order until its answer. */
export type OrderTrace = {
	readonly addAttempt: (attempt: CallAttempt) => void;
	readonly end: (answer: ClusterAnswer) => void;
};

/** Dependencies of an order log. */
export type OrderLogOptions = {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly log: StructuredLogger;
	readonly metrics: Pick<SchedulerMetrics, 'record'>;
	readonly getLead: () => LeadKnowledge;
	/** Returns the version that a configuration document claims; `undefined` if it cannot be read. */
	readonly readConfigurationVersion: (document: string) => number | undefined;
};

const latencies: Partial<Record<ClusterAnswer['type'], SchedulerLatency>> = {
	done: 'order_confirmed_ms',
	invalidRequest: 'order_rejected_ms',
};

/**
 * Creates a log of orders.
 *
 * @returns A function that begins the trace of a call; `undefined` for calls that are no orders.
 */
export function createOrderLog({timers, log, metrics, getLead, readConfigurationVersion}: OrderLogOptions): (call: ClusterCall) => OrderTrace | undefined {
	const describeOrder = (call: ClusterCall): string | undefined => {
		if (call.type === 'configuration/replace') {
			return `configuration ${readConfigurationVersion(call.document) ?? 'of unknown version'}`;
		}

		if (call.type === 'wave/start') {
			return `wave ${call.wave.wave}`;
		}

		return call.type === 'minion/leave' ? `leave of minion ${call.minion}` : undefined;
	};

	return call => {
		const order = describeOrder(call);
		if (order === undefined) {
			return undefined;
		}

		const startedAtMs = timers.getNow();
		const leadAtArrival = getLead();
		const attempts: CallAttempt[] = [];
		let attemptCount = 0;
		return {
			addAttempt(attempt) {
				attemptCount += 1;
				if (attempts.length < maximumLoggedAttempts) {
					attempts.push({...attempt, tookMs: Math.round(attempt.tookMs)});
				}
			},
			end({type: answer}) {
				const tookMs = Math.round(timers.getNow() - startedAtMs);
				metrics.record(latencies[answer] ?? 'order_failed_ms', tookMs);
				log.info(`order for ${order}: ${answer}`, {
					order, answer, tookMs, attemptCount, attempts, leadAtArrival, lead: getLead(),
				});
			},
		};
	};
}
