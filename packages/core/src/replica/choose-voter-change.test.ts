import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {chooseVoterChange} from './choose-voter-change.js';
import type {StoreId, VoterIdentity} from './types.js';

const createVoter = (name: string, disk = 1) => ({node: toBrand<NodeId>(name), storeId: toBrand<StoreId>(`${name}-${disk}`)});
const a1 = createVoter('a1');
const b1 = createVoter('b1');
const c1 = createVoter('c1');
const d1 = createVoter('d1');

const choose = ({voters, hosts, absent = [], deferred = []}: {
	readonly voters: readonly VoterIdentity[];
	readonly hosts: readonly VoterIdentity[];
	readonly absent?: readonly string[];
	readonly deferred?: readonly string[];
}) => chooseVoterChange({
	self: a1.node,
	voters,
	hosts,
	wantedVoters: 3,
	isReachable: node => !absent.includes(node),
	isAbsent: node => absent.includes(node),
	isDeferred: node => deferred.includes(node),
	getFailedAtMs: () => undefined,
});

test('a voter with a new data folder is replaced first', () => {
	const rejoined = createVoter('b1', 2);
	expect(choose({voters: [a1, b1, c1], hosts: [a1, rejoined, c1, d1], absent: ['c1']})).toEqual({type: 'add', voter: rejoined});
});

test('an absent voter is replaced in one change by a host that is there, and stays if there is none', () => {
	expect(choose({voters: [a1, b1, c1], hosts: [a1, b1, c1, d1], absent: ['c1']})).toEqual({type: 'add', voter: d1, replaces: 'c1'});
	expect(choose({voters: [a1, b1, c1], hosts: [a1, b1, c1], absent: ['c1']})).toBeUndefined();
	expect(choose({voters: [a1, b1, c1], hosts: [a1, b1, c1, d1], absent: ['c1', 'd1']})).toBeUndefined();
});

test('a missing voter is added, and of surplus voters the absent one is removed first', () => {
	expect(choose({voters: [a1], hosts: [a1, b1]})).toEqual({type: 'add', voter: b1});
	expect(choose({voters: [a1, b1, c1, d1], hosts: [a1, b1, c1, d1, createVoter('d2')], absent: ['c1']})).toEqual({type: 'remove', node: 'c1'});
	expect(choose({voters: [a1, b1, c1, d1], hosts: [a1, b1, c1, d1]})).toEqual({type: 'remove', node: 'b1'});
});

test('a host that was too slow gives another its turn, and is tried again at once if there is no other', () => {
	const rejoined = createVoter('c1', 2);
	expect(choose({voters: [a1, b1, c1], hosts: [a1, b1, rejoined], deferred: ['c1']})).toEqual({type: 'add', voter: rejoined});
	expect(choose({voters: [a1, b1], hosts: [a1, b1, c1, d1], deferred: ['c1']})).toEqual({type: 'add', voter: d1});
	expect(choose({voters: [a1, b1], hosts: [a1, b1, c1, d1], deferred: ['c1', 'd1']})).toEqual({type: 'add', voter: c1});
});
