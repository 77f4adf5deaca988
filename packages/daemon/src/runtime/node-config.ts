import type {RandomSource} from '@samphiremill/common';
import {
	createDefaultJobsCfg,
	defaultEscrowTimings,
	defaultMembershipTimings,
	minionForgetAfterMs,
	minionLeaseMs,
	minionRenewalPeriodMs,
	type NodeAddress,
	type NodeConfig,
} from '@samphiremill/core';
import type {Settings} from '../settings/index.js';

/** Gets the address at which peers reach this entry host. */
export const getSelfAddress = ({node, dataCentre, region, listen, isVoter}: Settings): NodeAddress => ({
	node, dataCentre, region, host: listen.peers.host, peerPort: listen.peers.port, isVoter,
});

/**
 * Creates the configuration of the node reducer.
 *
 * @param options - `mayHaveEarlierTasks`: whether tasks of an earlier process of this host may still run.
 */
export const createNodeConfig = ({settings, self, incarnation, random, mayHaveEarlierTasks}: {
	readonly mayHaveEarlierTasks: boolean;
	readonly settings: Settings;
	readonly self: NodeAddress;
	readonly incarnation: number;
	readonly random: RandomSource;
}): NodeConfig => ({
	membership: {
		membership: {
			self, incarnation, addresses: [self, ...settings.peers], timings: defaultMembershipTimings,
		},
		minions: {
			self: settings.node, leaseMs: minionLeaseMs, renewalPeriodMs: minionRenewalPeriodMs, forgetAfterMs: minionForgetAfterMs,
		},
	},
	escrow: {
		self: settings.node,
		dataCentre: settings.dataCentre,
		incarnation,
		localNodes: [self, ...settings.peers].filter(({dataCentre}) => dataCentre === settings.dataCentre).map(({node}) => node),
		earlierTasksMs: mayHaveEarlierTasks ? defaultEscrowTimings.taskLeaseMs : 0,
		timings: defaultEscrowTimings,
	},
	claims: {hasStore: settings.dataFolder !== undefined},
	jobs: createDefaultJobsCfg(random),
});

