/**
 * The configuration of the simulated fleet: one queue, its pool, a standby pool and one team or two.
 */
import type {FleetConfiguration, TeamDefinition} from '@samphiremill/core';
import {
	host, key, otherTeam, otherTeamKey, pathPrefix, pool, queue, standbyPool, team,
} from './constants.js';
import type {TestWorldOptions} from './types.js';

const advice = {decisionMs: 20, perWorkerMs: 1, validityMs: 5000};

const otherTeamDefinition: TeamDefinition = {
	team: otherTeam, keys: [otherTeamKey], weight: 1, maximum: {cpuMillicores: 0, memoryMb: 0, gpus: 0},
};

/**
 * Creates the configuration of a simulation.
 *
 * @param options - The options of the simulation.
 * @param version - The version of the configuration.
 * @returns The configuration that all its leaders read.
 */
export const createConfiguration = ({teamMaximumMillicores = 0, hasAdvice = false, hasOtherTeam = false}: TestWorldOptions, version = 1): FleetConfiguration => ({
	version,
	queues: [{
		queue,
		host,
		pathPrefix,
		pool,
		priority: 0,
		maximumAttempts: 4,
		stretchFactor: 2,
		startLatencyMs: 600,
		timeoutMs: 3000,
		isOpen: false,
		advice: hasAdvice ? advice : undefined,
	}],
	pools: [{pool, guardsCapacity: false, isStandby: false}, {pool: standbyPool, guardsCapacity: false, isStandby: true}],
	teams: [
		{
			team, keys: [key], weight: 1, maximum: {cpuMillicores: teamMaximumMillicores, memoryMb: 0, gpus: 0},
		},
		...(hasOtherTeam ? [otherTeamDefinition] : []),
	],
	limits: {
		maximumHeaderBytes: 16_384, maximumBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});
