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

/**
 * @param settings - The settings of this entry host.
 * @returns Where its peers reach it.
 */
export const getSelfAddress = ({node, dataCentre, region, listen, isVoter}: Settings): NodeAddress => ({
	node, dataCentre, region, host: listen.peers.host, peerPort: listen.peers.port, isVoter,
});

/**
 * @param options - The settings, this host's address and incarnation, chance, and whether tasks of an
 * earlier process may still run.
 * @returns The configuration of the reducer.
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

