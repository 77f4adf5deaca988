import fc from 'fast-check';
import {expect, test} from 'vitest';
import {operatorRoutes} from './routes.js';
import {
	createTestDaemon, readToken, writeToken, type TestDaemon,
} from './test-operator-context.js';

const authorization = `Bearer ${writeToken}`;

type Call = {
	readonly call: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

async function recordCalls(daemon: TestDaemon, calls: readonly Call[]): Promise<readonly unknown[]> {
	const transcript: unknown[] = [];
	for (const {call, body, headers} of calls) {
		const [method = '', target = ''] = call.split(' ');
		// eslint-disable-next-line no-await-in-loop -- the calls are made one after the other
		const response = await daemon.request({
			method,
			target,
			headers: {authorization, ...headers},
			...(body !== undefined && {body: typeof body === 'string' ? body : JSON.stringify(body)}),
		});
		transcript.push({call, ...response});
	}

	return transcript;
}

const v2 = {apiVersion: 'samphiremill/v2'};
const pool = {
	...v2, kind: 'pool', id: 'counters', maximumUnavailableHosts: 2,
};
const team = {
	...v2, kind: 'team', id: 'olinda', displayName: 'Parish of Olinda',
};

test('records: create, conflicting change, resend, history, delete', async () => {
	expect(await recordCalls(createTestDaemon(), [
		{call: 'PUT /v1/records/pool/counters', body: pool, headers: {'if-none-match': '*', 'samphiremill-change-id': 'c-1'}},
		{call: 'GET /v1/records/pool/counters'},
		{call: 'PUT /v1/records/pool/counters', body: {...pool, maximumUnavailableHosts: 3}, headers: {'if-match': '"1"'}},
		{call: 'PUT /v1/records/pool/counters', body: {...pool, maximumUnavailableHosts: 4}, headers: {'if-match': '"1"'}},
		{call: 'PUT /v1/records/pool/counters', body: pool, headers: {'if-none-match': '*', 'samphiremill-change-id': 'c-1'}},
		{call: 'PUT /v1/records/pool/counters', body: team, headers: {'if-match': '1'}},
		{call: 'PUT /v1/records/pool/counters', body: '{"apiVersion'},
		{call: 'GET /v1/records/pool/counters/history'},
		{call: 'DELETE /v1/records/pool/counters', headers: {'if-match': '"2"'}},
		{call: 'GET /v1/records/pool/counters'},
	])).toMatchSnapshot();
});

test('records are read and written in both schema versions', async () => {
	const v1Team = {
		apiVersion: 'samphiremill/v1', kind: 'team', name: 'natal', title: 'Natal', share: 2, limit: 9,
	};
	expect(await recordCalls(createTestDaemon(), [
		{call: 'PUT /v1/records/team/natal', body: v1Team},
		{call: 'GET /v1/records/limit/natal'},
		{
			call: 'PUT /v1/records/share/natal', body: {
				...v2, kind: 'share', id: 'natal', weight: 2.25,
			},
		},
		{call: 'GET /v1/records/team/natal?apiVersion=samphiremill/v1'},
		{call: 'PUT /v1/records/team/natal', body: {...v1Team, limit: 10}, headers: {'if-match': '"1-2-1"'}},
		{call: 'PUT /v1/records/team/natal', body: {...v1Team, limit: 11}, headers: {'if-match': '"1-2-1"'}},
		{call: 'GET /v1/records/share/natal'},
		{call: 'GET /v1/records/share/natal', headers: {accept: 'application/vnd.samphiremill.v1+json'}},
		{call: 'DELETE /v1/records/team/natal?apiVersion=samphiremill/v1'},
		{call: 'GET /v1/records/team'},
		{call: 'GET /v1/records/team?apiVersion=samphiremill/v9'},
	])).toMatchSnapshot();
});

test('keys, waves, moves and reports', async () => {
	const headers = {'samphiremill-change-id': 'grant-1'};
	const daemon = createTestDaemon();
	daemon.outcomeOverrides.push('unavailable');
	const transcript = await recordCalls(daemon, [
		{call: 'PUT /v1/records/pool/counters', body: pool},
		{call: 'PUT /v1/records/pool/counters', body: pool},
		{call: 'PUT /v1/records/pool/ledgers', body: {...pool, id: 'ledgers', isSpare: true}},
		{call: 'PUT /v1/records/team/olinda', body: team},
		{call: 'POST /v1/keys', body: {id: 'olinda-1', team: 'olinda'}, headers},
		{call: 'POST /v1/keys', body: {id: 'olinda-1', team: 'olinda'}, headers},
		{call: 'POST /v1/keys', body: {id: 'olinda-1', team: 'olinda'}},
		{call: 'POST /v1/keys', body: {id: 'natal-1', team: 'natal', secret: 'x'}},
		{call: 'DELETE /v1/keys/olinda-1'},
		{
			call: 'PUT /v1/records/worker/w-1',
			body: {
				...v2, kind: 'worker', id: 'w-1', dataCentre: 'recife', rack: 'r-1', cores: 32, memoryMb: 1024, homePool: 'counters',
			},
		},
		{
			call: 'PUT /v1/records/wave/autumn',
			body: {
				...v2, kind: 'wave', id: 'autumn', pools: ['counters'], desired: 'paused', maximumHostsAside: 1,
			},
		},
		{call: 'POST /v1/waves/autumn/start'},
		{call: 'GET /v1/waves/autumn/progress'},
		{call: 'POST /v1/waves/autumn/stop'},
		{call: 'POST /v1/waves/winter/start'},
		{call: 'POST /v1/workers/w-1/move', body: {pool: 'ledgers'}},
		{call: 'DELETE /v1/records/worker/w-1'},
		{call: 'DELETE /v1/records/pool/counters'},
		{call: 'GET /v1/moves'},
		{call: 'GET /v1/workers?pool=ledgers'},
		{call: 'GET /v1/status?index=4'},
		{call: 'GET /v1/shares?windowMs=1000'},
		{call: 'GET /v1/explain/jobs/j-1'},
		{call: 'GET /v1/explain/workers/w-1'},
	]);
	expect(transcript).toMatchSnapshot();
});

test('a resend with the same change id after a lost answer gets the first answer', async () => {
	const daemon = createTestDaemon();
	daemon.outcomeOverrides.push('unknown');
	const call = {call: 'PUT /v1/records/pool/counters', body: pool, headers: {'samphiremill-change-id': 'c-1', 'if-none-match': '*'}};
	const [lost, resent] = await recordCalls(daemon, [call, call]);
	expect(lost).toMatchObject({status: 504, document: {ran: 'maybe'}});
	expect(resent).toMatchObject({status: 201, document: {changes: [{revision: 1}]}});
});

test('requests without a valid token get 401, a read-only operator gets 403 for changes, and no record is changed', async () => {
	const daemon = createTestDaemon();
	for (const {method, path, role} of operatorRoutes) {
		const target = path.replaceAll(/\{[a-z]+\}/giv, 'x');
		// eslint-disable-next-line no-await-in-loop -- few fast requests
		const [none, wrong, reader] = await Promise.all([{}, {authorization: 'Bearer x'}, {authorization: `Bearer ${readToken}`}]
			.map(async headers => daemon.request({method, target, headers})));
		expect([none?.status, wrong?.status]).toEqual([401, 401]);
		expect(reader?.status === 403).toBe(role === 'write');
	}

	expect(daemon.ctx.getControlState().changes.size).toBe(0);
});

test('a host without records answers 503, except for the status', async () => {
	const daemon = createTestDaemon();
	daemon.setFresh(false);
	const target = '/v1/records/pool';
	const headers = {authorization};
	expect(await daemon.request({method: 'GET', target, headers})).toMatchObject({status: 503, document: {reason: 'starting'}});
	expect(await daemon.request({method: 'GET', target: '/v1/status', headers})).toMatchObject({status: 200});
	daemon.setFresh(true);
	expect(await daemon.request({method: 'GET', target, headers})).toMatchObject({status: 200, document: {items: []}});
});

test('every body and header gets a 2xx or a 4xx answer', async () => {
	await fc.assert(fc.asyncProperty(
		fc.constantFrom(...operatorRoutes),
		fc.oneof(fc.string(), fc.json()),
		fc.record({'if-match': fc.string(), 'samphiremill-change-id': fc.string()}, {requiredKeys: []}),
		async ({method, path}, body, headers) => {
			const response = await createTestDaemon().request({
				method, target: path.replaceAll(/\{[a-z]+\}/giv, 'x'), body, headers: {authorization, ...headers},
			});
			expect(Math.floor(response.status / 100)).toSatisfy((hundreds: number) => hundreds === 2 || hundreds === 4);
		},
	), {seed: 5, numRuns: 500});
});
