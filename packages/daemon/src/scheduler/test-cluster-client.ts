/** A cluster client of an entry host in virtual time, with two control hosts in its settings. */
import {
	createVirtualTimerService, toBrand, type NodeId, type TimerService,
} from '@samphiremill/common';
import type {PeerTransport} from '../peers/index.js';
import {createClusterClient} from './cluster-client.js';
import type {ClusterAnswer, ClusterCall} from './types.js';

const stepMs = 50;

/** As many turns as a call takes from one timer to the next. */
const turnsPerStep = 5;

/**
 * Creates a client.
 *
 * @param createRequest - Returns the function that answers the client's requests.
 * @param options - `seeds` are the names of the control hosts of the settings; `answerHere` answers while this host leads; `isLinked` tells of the links that are kept open.
 */
export function createTestClusterClient(
	createRequest: (timers: TimerService) => PeerTransport['request'],
	{seeds = ['control-1', 'control-2'], answerHere, isLinked}: {
		readonly seeds?: readonly string[];
		readonly answerHere?: (call: ClusterCall) => Promise<ClusterAnswer> | undefined;
		readonly isLinked?: (host: NodeId) => boolean;
	} = {},
) {
	const timers = createVirtualTimerService(0);
	const client = createClusterClient({
		timers,
		self: toBrand<NodeId>('entry'),
		seeds: seeds.map(name => toBrand<NodeId>(name)),
		transport: {request: createRequest(timers)},
		...(answerHere !== undefined && {answerHere}),
		...(isLinked !== undefined && {isLinked}),
	});
	const passTime = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			timers.advance(stepMs);
			for (let turn = 0; turn < turnsPerStep; turn += 1) {
				await Promise.resolve(); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
			}
		}
	};

	return {timers, client, passTime};
}
