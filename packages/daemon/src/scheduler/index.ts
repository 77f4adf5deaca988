/**
 * The processes of the scheduler: control hosts, which replicate the ledger and elect the leader, and entry
 * hosts, which accept callers' requests.
 */
export type * from './types.js';
export {
	startControlHost, type ControlHost, type ControlHostOptions, type ControlHostSettings,
} from './control-host.js';
export {startEntryHost, type EntryHost, type EntryHostSettings} from './entry-host.js';
export {getNodeOfAddress} from './cluster-client.js';
export type {SchedulerLimits} from './leader.js';
export {createSchedulerMetrics, type SchedulerMetrics} from './metrics.js';
export {maximumLeaseMs, orderTurnMarginMs, platformLeaseFraction} from './constants.js';
