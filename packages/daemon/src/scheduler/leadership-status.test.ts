import {toBrand, type NodeId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createLeadershipReport} from './leadership-report.js';
import type {LeadershipObservation} from './leadership-status.js';
import {createSchedulerMetrics} from './metrics.js';

const self = toBrand<NodeId>('10.0.0.1');
const second = toBrand<NodeId>('10.0.0.2');
const third = toBrand<NodeId>('10.0.0.3');

type Replica = LeadershipObservation['replica'];

const follower: Replica = {
	role: 'follower',
	term: 3,
	leader: second,
	leaderLastHeardMs: 0,
	commitIndex: 10,
	voters: [self, second, third].map(node => ({node, storeId: toBrand(`store of ${node}`)})),
	persistence: {
		nextSequence: 8, persistedIndex: 10, pending: [],
	},
	leadership: undefined,
};

const leaderless: Replica = {...follower, role: 'preCandidate', leader: undefined};
const leading: Replica = {...follower, role: 'leader', leader: self};
const pendingWrite = {
	sequence: 7, sinceMs: 0, lastIndex: 10, term: 3, messages: [],
};

type Situation = {
	readonly replica: Replica;
} & Partial<Omit<LeadershipObservation, 'replica' | 'nowMs'>>;

// Observes the same situation once a second, after a second in which a leader was heard.
const collectLines = (situation: Situation, seconds = 3) => {
	const lines: string[] = [];
	const write = (message: string) => {
		lines.push(message);
	};

	const log = {
		debug: write, info: write, warn: write, error: write,
	};
	const metrics = createSchedulerMetrics();
	const report = createLeadershipReport({log, metrics, nowMs: 0});
	const observe = (observed: Situation, nowMs: number) => {
		report.record({
			self, lastIndex: 10, isVoter: true, hasDuties: false, hasLeaderLease: false, isConfirmed: false, linkedPeers: [second, third], nowMs, ...observed,
		});
	};

	const heard = (nowMs: number): Situation => ({replica: {...follower, leaderLastHeardMs: nowMs}});
	observe(heard(1000), 1000);
	for (let second = 1; second <= seconds; second += 1) {
		observe(situation, 1000 + (second * 1000));
	}

	const {obstacle} = report.getStatus() ?? {};
	const gauges = metrics.format().split('\n').filter(line => line.includes('withoutLeaderMs') || line.includes('"voter"'));
	observe(heard((seconds + 2) * 1000), (seconds + 2) * 1000);
	return {obstacle, lines, gauges};
};

test('a follower that hears its leader reports nothing', () => {
	expect(collectLines({replica: {...follower, leaderLastHeardMs: 4000}})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 0",
		  ],
		  "lines": [],
		  "obstacle": undefined,
		}
	`);
});

test('a spare host without a vote reports nothing while a majority confirms what it knows', () => {
	expect(collectLines({replica: {...follower, role: 'observer'}, isVoter: false, isConfirmed: true}).lines).toEqual([]);
});

test('two of three voters are gone', () => {
	expect(collectLines({replica: leaderless, linkedPeers: []})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: tooFewVoters",
		    "no leader has acted for 2000 ms: tooFewVoters",
		    "no leader has acted for 3000 ms: tooFewVoters",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "tooFewVoters",
		}
	`);
});

test('this host has no vote with its present data folder', () => {
	expect(collectLines({replica: {...leaderless, role: 'observer'}, isVoter: false})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 0",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: notVoter",
		    "no leader has acted for 2000 ms: notVoter",
		    "no leader has acted for 3000 ms: notVoter",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "notVoter",
		}
	`);
});

test('the data folder takes no writes', () => {
	const persistence = {...follower.persistence, pending: [pendingWrite]};
	expect(collectLines({replica: {...leaderless, persistence}})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: diskWritesPending",
		    "no leader has acted for 2000 ms: diskWritesPending",
		    "no leader has acted for 3000 ms: diskWritesPending",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "diskWritesPending",
		}
	`);
});

test('all voters are linked and none is elected', () => {
	expect(collectLines({replica: leaderless})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: noElectionWon",
		    "no leader has acted for 2000 ms: noElectionWon",
		    "no leader has acted for 3000 ms: noElectionWon",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "noElectionWon",
		}
	`);
});

test('the leader has not begun its duties', () => {
	expect(collectLines({replica: leading, hasLeaderLease: true})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: dutiesNotBegun",
		    "no leader has acted for 2000 ms: dutiesNotBegun",
		    "no leader has acted for 3000 ms: dutiesNotBegun",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "dutiesNotBegun",
		}
	`);
});

test('the leader commits nothing', () => {
	expect(collectLines({
		replica: leading, lastIndex: 14, hasDuties: true, hasLeaderLease: true,
	})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: nothingCommitted",
		    "no leader has acted for 2000 ms: nothingCommitted",
		    "no leader has acted for 3000 ms: nothingCommitted",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "nothingCommitted",
		}
	`);
});

test('the leader has no lease', () => {
	expect(collectLines({replica: leading, hasDuties: true})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 3000",
		  ],
		  "lines": [
		    "no leader has acted for 1000 ms: noLeaderLease",
		    "no leader has acted for 2000 ms: noLeaderLease",
		    "no leader has acted for 3000 ms: noLeaderLease",
		    "a leader acts again after 4000 ms",
		  ],
		  "obstacle": "noLeaderLease",
		}
	`);
});

test('a leader that acts reports nothing', () => {
	expect(collectLines({replica: leading, hasDuties: true, hasLeaderLease: true})).toMatchInlineSnapshot(`
		{
		  "gauges": [
		    "samphiremill_control_host{kind="voter"} 1",
		    "samphiremill_control_host{kind="withoutLeaderMs"} 0",
		  ],
		  "lines": [],
		  "obstacle": undefined,
		}
	`);
});
