/**
 * A learner to which both the leader and another voter offer their snapshots, on a slow link with the leader.
 */
import {toBrand, type DataCentreId, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {controlHostReplicaLimits, snapshotStallTimeoutMs} from './constants.js';
import {createReplica} from './create-replica.js';
import type {ReplicaMessage} from './messages.js';
import {reduceReplica} from './reduce-replica.js';
import type {ReplicaConfig, ReplicaEvent, StoreId} from './types.js';

const stepMs = 50;
const chunkLength = 1000;
const clusterId = toBrand<StoreId>('a1-disk');
const voters = ['a1', 'b1'].map(name => ({node: toBrand<NodeId>(name), storeId: toBrand<StoreId>(`${name}-disk`)}));
const cfg: ReplicaConfig = {
	self: toBrand<NodeId>('c1'),
	storeId: toBrand<StoreId>('c1-disk'),
	nodes: ['a1', 'b1', 'c1'].map(name => ({node: toBrand<NodeId>(name), dataCentre: toBrand<DataCentreId>(`of ${name}`), isInitialVoter: name !== 'c1'})),
	limits: controlHostReplicaLimits,
	random: () => 0,
};

/** Plays a learner to which chunks take `latencyMs`, and `chunkMs` of the link of their sender. Returns when the snapshot was installed. */
const playTransfer = ({latencyMs, chunkMs, chunkCount, isOtherOffering, durationMs}: {
	readonly latencyMs: number;
	readonly chunkMs: number;
	readonly chunkCount: number;
	readonly isOtherOffering: boolean;
	readonly durationMs: number;
}): number | undefined => {
	const length = chunkLength * chunkCount;
	const snapshots = new Map([['a1', 900], ['b1', 800]]);
	const sentAtMs = new Map<string, number>();
	let nowMs = 0;
	let installedAtMs: number | undefined;
	let {state} = createReplica<string>({cfg, nowMs}, {hardState: {term: 0}, entries: []});
	let answers: ReadonlyArray<{readonly atMs: number; readonly from: string; readonly message: ReplicaMessage<string>}> = [];

	const dispatch = (event: ReplicaEvent<string>) => {
		const step = reduceReplica(state, event, cfg);
		({state} = step);
		for (const effect of step.effects) {
			if (effect.type === 'replica/installSnapshot') {
				installedAtMs ??= nowMs;
			} else if (effect.type === 'replica/persist') {
				dispatch({type: 'replica/persisted', sequence: effect.sequence, nowMs});
			} else if (effect.type === 'peer/send' && effect.message.type === 'replica/pullSnapshot' && snapshots.get(effect.to) === effect.message.index) {
				const {index, offset} = effect.message;
				const sentMs = Math.max(nowMs, sentAtMs.get(effect.to) ?? 0) + chunkMs;
				sentAtMs.set(effect.to, sentMs);
				answers = [...answers, {
					atMs: sentMs + latencyMs,
					from: effect.to,
					message: {
						type: 'replica/snapshotChunk', index, offset, length, term: 1, clusterId, voters, requests: [], data: 'x'.repeat(Math.min(chunkLength, length - offset)),
					},
				}];
			}
		}
	};

	const receive = (from: string, message: ReplicaMessage<string>) => {
		dispatch({
			type: 'peer/received', from: toBrand<NodeId>(from), message, nowMs,
		});
	};

	const offer = () => {
		if (nowMs % controlHostReplicaLimits.heartbeatPeriodMs === 0) {
			receive('a1', {
				type: 'replica/append', clusterId, term: 1, round: nowMs, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0,
			});
			receive('a1', {type: 'replica/snapshotOffer', index: 900, length});
		} else if (isOtherOffering) {
			receive('b1', {type: 'replica/snapshotOffer', index: 800, length});
		}
	};

	const deliver = () => {
		const arrived = answers.filter(({atMs}) => atMs <= nowMs);
		answers = answers.filter(({atMs}) => atMs > nowMs);
		for (const {from, message} of arrived) {
			receive(from, message);
		}
	};

	const isInstalled = () => installedAtMs !== undefined;

	while (nowMs < durationMs && !isInstalled()) {
		nowMs += stepMs;
		offer();
		deliver();
		dispatch({type: 'replica/tick', nowMs});
	}

	return installedAtMs;
};

test.each([
	{latencyMs: 0, chunkMs: 100},
	{latencyMs: 100, chunkMs: 300},
	{latencyMs: 100, chunkMs: 500},
	{latencyMs: 300, chunkMs: 300},
	{latencyMs: 600, chunkMs: 50},
])('a snapshot is fetched from the leader in the same time although another voter offers its own: $latencyMs ms of latency, $chunkMs ms a chunk', speed => {
	expect(speed.latencyMs + speed.chunkMs).toBeLessThan(snapshotStallTimeoutMs);
	const plan = {...speed, chunkCount: 20, durationMs: 60_000};
	const aloneMs = playTransfer({...plan, isOtherOffering: false});
	expect(aloneMs).toBeDefined();
	expect(playTransfer({...plan, isOtherOffering: true})).toBeLessThanOrEqual(2 * (aloneMs ?? 0));
});
