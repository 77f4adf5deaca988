import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {chooseVoterChange} from './choose-voter-change.js';
import {learnerStallTimeoutMs} from './constants.js';
import type {StoreId, VoterIdentity} from './types.js';

// As in the scheduler's constants.
const failedVoterRetryDelayMs = 2000;
const voterCheckPeriodMs = 250;
const tickMs = 50;

const createVoter = (name: string): VoterIdentity => ({node: toBrand<NodeId>(name), storeId: toBrand<StoreId>(`${name}-disk`)});

test.each([1, 2, 3])('%d hosts that are too slow each time do not keep a sound one from its turn', slowCount => {
	const slow = ['c1', 'd1', 'e1'].slice(0, slowCount);
	const hosts = ['a1', 'b1', ...slow, 'f1'].map(name => createVoter(name));
	const retryAtMs = new Map<string, number>();
	const chosen: string[] = [];
	for (let nowMs = 0; nowMs < 60_000 && !chosen.includes('f1');) {
		const at = nowMs;
		const change = chooseVoterChange({
			self: toBrand<NodeId>('a1'),
			voters: hosts.slice(0, 2),
			hosts,
			wantedVoters: 3,
			isReachable: () => true,
			isAbsent: () => false,
			isDeferred: node => at < (retryAtMs.get(node) ?? 0),
			getFailedAtMs: node => retryAtMs.get(node),
		});
		const node = change?.type === 'add' ? change.voter.node : '';
		chosen.push(node);
		const failedAtMs = at + learnerStallTimeoutMs + tickMs;
		retryAtMs.set(node, failedAtMs + failedVoterRetryDelayMs);
		nowMs = Math.ceil(failedAtMs / voterCheckPeriodMs) * voterCheckPeriodMs;
	}

	expect(chosen).toContain('f1');
});
