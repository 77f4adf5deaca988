import {expect, test} from 'vitest';
import {runSession, type ScriptedAnswer, type Session} from './test-io.js';

const pool = {
	apiVersion: 'samphiremill/v2', kind: 'pool', id: 'counters', maximumUnavailableHosts: 2, isSpare: false,
};
const queue = {
	apiVersion: 'samphiremill/v2', kind: 'queue', id: 'cloths', pool: 'counters',
};
const metadata = {etag: '3', changedAtMs: 0, changedBy: 'ana'};

function createAcceptance(kind: string, id: string, index = 7): ScriptedAnswer {
	return {
		status: 200, document: {
			changes: [{
				kind, id, revision: 4, outcome: 'updated',
			}], index,
		},
	};
}

function createRefusal(status: number, reason: string, more: Readonly<Record<string, unknown>> = {}): ScriptedAnswer {
	return {status, document: {title: `refused: ${reason}`, reason, ...more}};
}

const putPool = 'PUT /v1/records/pool/counters';
const noLeader = createRefusal(503, 'noLeader');

const formatLine = (second: number, message: string, more: Readonly<Record<string, unknown>>) => JSON.stringify({
	time: new Date(second * 1000).toISOString(), level: 'info', message, ...more,
});

const logs = {
	'control-1.log': [
		formatLine(1, 'leads in term 2', {term: 2, node: 'control-1'}),
		formatLine(50, 'job 0a1b: accepted', {id: '0a1b', workAheadCoreMs: 6900, node: 'control-1'}),
		formatLine(51, 'job 0a1b: 2 tasks start', {id: '0a1b', starts: '0.0.0#1@m-1 0.0.1#1@m-2', node: 'control-1'}),
		formatLine(51, 'job 77ff: accepted', {id: '77ff', node: 'control-1'}),
	].join('\n'),
	'control-2.log': [
		'a line that is not a log line',
		`2026-12-04 host-2 ${formatLine(53, 'leads in term 3', {term: 3, node: 'control-2'})}`,
		formatLine(57, 'the lease on minion m-1 ran out with 1 runs', {silentMs: 3353, tasks: ['0a1b.0.0.0'], node: 'control-2'}),
	].join('\n'),
};

const sessions: Readonly<Record<string, Session>> = {
	'get prints one record as a table': {
		args: ['get', 'pool', 'counters'],
		answers: {'GET /v1/records/pool/counters?apiVersion=samphiremill/v2': [{status: 200, document: {...pool, metadata}}]},
	},
	'get prints a list as JSON in the older schema version': {
		args: ['--api-version', 'v1', '--output', 'json', 'get', 'team'],
		answers: {'GET /v1/records/team?apiVersion=samphiremill/v1': [{status: 200, document: {items: []}}]},
	},
	'get of an unknown record exits with 3': {
		args: ['get', 'pool', 'nowhere'],
		answers: {'GET /v1/records/pool/nowhere?apiVersion=samphiremill/v2': [createRefusal(404, 'notFound')]},
	},
	'explain log merges the lines of all processes that contain an id': {
		args: ['explain', 'log', '0a1b', '-f', 'control-1.log', 'control-2.log'],
		files: logs,
	},
	'explain log of an id that no line contains exits with 3': {
		args: ['explain', 'log', 'ffff', '-f', 'control-1.log'],
		files: logs,
	},
	'apply writes pools before queues and sends the revisions that were read': {
		args: ['apply', '-f', 'queue', '-', '--wait'],
		files: {queue, '-': {items: [{...pool, metadata}]}},
		answers: {
			[putPool]: [createAcceptance('pool', 'counters', 6)],
			'PUT /v1/records/queue/cloths': [createAcceptance('queue', 'cloths')],
			'GET /v1/status?index=7': [
				{status: 200, document: {inForce: {hosts: 1, ofHosts: 3}}},
				{status: 200, document: {inForce: {hosts: 1, ofHosts: 3}}},
				{status: 200, document: {inForce: {hosts: 3, ofHosts: 3}}},
			],
		},
	},
	'apply stops at a conflict and lists the documents that were not applied': {
		args: ['apply', '-f', 'all'],
		files: {all: [queue, pool]},
		answers: {
			[putPool]: [createRefusal(412, 'conflict', {
				conflicts: [{
					kind: 'pool', id: 'counters', expectedRevision: 3, current: {revision: 5, changedBy: 'rui', record: pool},
				}, {kind: 'limit', id: 'x', expectedRevision: 2}],
			})],
		},
	},
	'apply validates every file before it sends a request': {
		args: ['apply', '-f', 'bad', 'broken'],
		files: {bad: [pool, {...queue, pool: 7, colour: 'grey'}], broken: '{'},
	},
	'apply --wait exits with 9 after the wait timeout': {
		args: ['apply', '-f', 'pool', '--wait', '--wait-timeout', '1'],
		files: {pool},
		answers: {
			[putPool]: [createAcceptance('pool', 'counters')],
			'GET /v1/status?index=7': [{status: 200, document: {inForce: {hosts: 2, ofHosts: 3}}}],
		},
	},
	'a request is sent to the next endpoint if one is down': {
		args: ['--endpoint', 'http://127.0.0.1:1', '--endpoint', 'http://127.0.0.1:2', 'delete', 'pool', 'counters', '--revision', '3'],
		answers: {
			'DELETE /v1/records/pool/counters?apiVersion=samphiremill/v2': [{failure: 'unsent'}, noLeader, createAcceptance('pool', 'counters')],
		},
	},
	'a change whose answer was lost is resent with the same change id': {
		args: ['keys', 'withdraw', 'olinda-1', '--change-id', 'mine'],
		answers: {'DELETE /v1/keys/olinda-1': [{failure: 'sent'}, createRefusal(504, 'answerLost'), createAcceptance('key', 'olinda-1')]},
	},
	'the change id is printed if no resend is answered': {
		args: ['--timeout', '1', 'move', 'w-1', '--to', 'ledgers'],
		answers: {'POST /v1/workers/w-1/move': [{failure: 'sent'}, {failure: 'unsent'}]},
	},
	'a change exits with 7 if no entry host knows a leader': {
		args: ['--timeout', '1', 'wave', 'pause', 'autumn'],
		env: Object.fromEntries([['SAMPHIREMILL_ENDPOINTS', 'http://127.0.0.1:1,http://127.0.0.1:2'], ['SAMPHIREMILL_TOKEN', 'token']]),
		answers: {'POST /v1/waves/autumn/pause': [noLeader]},
	},
	'keys grant prints the secret of the key': {
		args: ['keys', 'grant', 'olinda-1', '--team', 'olinda'],
		answers: {
			'POST /v1/keys': [{
				status: 201, document: {
					id: 'olinda-1', team: 'olinda', secret: 'smk_x', index: 3,
				},
			}],
		},
	},
	'wave progress --watch polls until the wave has ended': {
		args: ['wave', 'progress', 'autumn', '--watch'],
		answers: {
			'GET /v1/waves/autumn/progress': [
				{
					status: 200,
					document: {
						wave: 'autumn', phase: 'paused', pause: {type: 'correlatedFailure', workers: ['w-1', 'w-2']}, hosts: {returned: 1, total: 4, failed: 2}, findings: [],
					},
				},
				{status: 200, document: {wave: 'autumn', phase: 'completed', hosts: {returned: 4, total: 4, failed: 0}}},
			],
		},
	},
	'shares prints the shares over a window': {
		args: ['shares', '--window', '10'],
		answers: {
			'GET /v1/shares?windowMs=10000': [{
				status: 200,
				document: {
					items: [
						{
							team: 'natal', weight: 1, dueSlots: 10, grantedSlots: 10, usedSlots: 9.96, refusedJobs: 0,
						},
						{
							team: 'olinda', weight: 3, limit: 40, dueSlots: 30, grantedSlots: 30, usedSlots: 28.5, refusedJobs: 12,
						},
					],
				},
			}],
		},
	},
	'status prints the state of the entry hosts': {
		args: ['status'],
		answers: {
			'GET /v1/status': [{
				status: 200,
				document: {
					node: 'node-1', term: 3, leader: 'node-2', commitIndex: 9, isFresh: false, inForce: {hosts: 1, ofHosts: 2}, hosts: [
						{
							node: 'node-1', dataCentre: 'recife', role: 'follower', health: 'alive', appliedIndex: 7,
						},
						{
							node: 'node-2', dataCentre: 'recife', role: 'leader', health: 'alive', appliedIndex: 9,
						},
					],
				},
			}],
		},
	},
	'a warning is printed if the entry host has a stale configuration': {
		args: ['get', 'team'],
		answers: {'GET /v1/records/team?apiVersion=samphiremill/v2': [{status: 200, document: {items: []}, isStale: true}]},
	},
	'workers --moving prints the workers that are moving': {
		args: ['workers', '--moving'],
		answers: {
			'GET /v1/moves': [{
				status: 200, document: {
					items: [{
						worker: 'w-1', dataCentre: 'recife', rack: 'r-1', homePool: 'counters', pool: 'counters', movingTo: 'ledgers', condition: 'up',
					}],
				},
			}],
		},
	},
	'explain job prints the decisions about a job': {
		args: ['explain', 'job', 'j-1'],
		answers: {
			'GET /v1/explain/jobs/j-1': [{
				status: 200, document: {
					decisions: [{
						atMs: 0, decision: 'placed', reason: 'leastLoaded', details: {minion: 'm-1', alternatives: 7},
					}],
				},
			}],
		},
	},
	'history prints the changes of a deleted record': {
		args: ['history', 'key', 'olinda-1'],
		answers: {
			'GET /v1/records/key/olinda-1/history': [{
				status: 200, document: {
					entries: [
						{
							revision: 1, changedAtMs: 0, changedBy: 'ana', changeId: 'a', record: {
								kind: 'key', id: 'olinda-1', team: 'olinda', secretHash: 'ab',
							},
						},
						{
							revision: 2, changedAtMs: 1000, changedBy: 'rui', changeId: 'b',
						},
					],
				},
			}],
		},
	},
	'diff shows what apply would change': {
		args: ['diff', '-f', 'all'],
		files: {all: [{...pool, maximumUnavailableHosts: 3, metadata}, queue]},
		answers: {
			'GET /v1/records/pool/counters?apiVersion=samphiremill/v2': [{status: 200, document: {...pool, metadata: {}}}],
			'GET /v1/records/queue/cloths?apiVersion=samphiremill/v2': [createRefusal(404, 'notFound')],
		},
	},
	'diff reports no difference for defaults that a document leaves out': {
		args: ['diff', '-f', 'pool'],
		files: {
			pool: {
				apiVersion: 'samphiremill/v2', kind: 'pool', id: 'counters', maximumUnavailableHosts: 2,
			},
		},
		answers: {
			'GET /v1/records/pool/counters?apiVersion=samphiremill/v2': [{status: 200, document: {...pool, metadata}}],
		},
	},
	'an unknown command exits with 2': {args: ['pause']},
	'a change with a read-only token exits with 6': {
		args: ['wave', 'abort', 'autumn'],
		answers: {'POST /v1/waves/autumn/abort': [createRefusal(403, 'forbidden')]},
	},
	'a missing file exits with 10': {args: ['apply', '-f', 'none']},
	completion: {args: ['completion', 'bash']},
};

test.for(Object.entries(sessions))('%s', async ([name, session]) => {
	expect(await runSession(session)).toMatchSnapshot(name);
});

test('resends of a change keep its change id, and every change has an id of its own', async () => {
	const {requests} = await runSession({
		args: ['apply', '-f', 'pool', 'again'],
		files: {pool, again: queue},
		answers: {[putPool]: [{failure: 'sent'}, noLeader, createAcceptance('pool', 'counters')], 'PUT /v1/records/queue/cloths': [createAcceptance('queue', 'cloths')]},
	});
	const ids = requests.map(line => /"samphiremill-change-id":"(?<id>[^"]+)"/v.exec(line)?.groups?.id);
	expect(ids).toEqual([
		'change-1/pool/counters', 'change-1/pool/counters', 'change-1/pool/counters', 'change-1/queue/cloths',
	]);
});
