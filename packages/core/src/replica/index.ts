/**
 * The replicated log as one pure reducer: elections, replication, reads, snapshots, voter changes, observers
 * and the configuration lease.
 */
export type * from './types.js';
export type * from './messages.js';
export {controlHostReplicaLimits, defaultReplicaLimits} from './constants.js';
export {getConfigurationFreshness, type ConfigurationFreshness} from './confirmation.js';
export {createReplica} from './create-replica.js';
export {reduceReplica} from './reduce-replica.js';
export {getUpstream, getUpstreamCandidates} from './upstream.js';
export {
	applyPersistedWrite, createPersistedState, getRecoveredReplica, type PersistedWrite, type PersistedState,
} from './persisted-state.js';
export {chooseVoterChange, isLeaderReplaceable, type VoterChangeInput} from './choose-voter-change.js';
export {getConfirmedSendMs, hasLeaderLease, isLeaderLeaseHeld} from './leader-lease.js';
export {getLastIndex} from './log.js';
export {getQuorumSize, hasVoter} from './quorum.js';
export {isDiskHanging, listStalledVoters} from './voter-progress.js';
export type {ReplicaContext, ReplicaStep} from './replica-step.js';
