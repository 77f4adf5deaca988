/**
 * The processes of the scheduler: control hosts that agree and decide, entry hosts that take callers'
 * requests in.
 */
export type * from './types.js';
export {
	startControlHost, type ControlHost, type ControlHostOptions, type ControlHostSettings,
} from './control-host.js';
export {startEntryHost, type EntryHost, type EntryHostSettings} from './entry-host.js';
export {getNodeOfAddress} from './cluster-client.js';
export type {SchedulerLimits} from './leader.js';
export {createSchedulerMetrics, type SchedulerMetrics} from './metrics.js';
export {platformLeaseFraction, maximumLeaseMs, orderTurnMarginMs} from './constants.js';
