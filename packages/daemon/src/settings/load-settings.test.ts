import fc from 'fast-check';
import {expect, test} from 'vitest';
import {loadSettings, restoreSettings} from './load-settings.js';

const peer = {
	node: 'node-2', dataCentre: 'recife', region: 'nordeste', host: '127.0.0.2', peerPort: 7401,
};

const minimalSettings = {
	apiVersion: 'samphiremill/settings/v1',
	node: 'node-1',
	dataCentre: 'recife',
	region: 'nordeste',
	listen: {http: {host: '127.0.0.1', port: 7400}, peers: {host: '127.0.0.1', port: 7401}},
	voters: ['node-1'],
	dataFolder: './data',
	clusterSecret: 'a'.repeat(32),
};

test('the smallest file gets every default', () => {
	expect(loadSettings(JSON.stringify({...minimalSettings, peers: [peer]}))).toMatchSnapshot();
});

test('every finding is reported together with its place', () => {
	expect(restoreSettings({
		...minimalSettings,
		listen: {http: {host: 'localhost', port: 70_000}},
		log: {level: 'loud'},
		limits: {maximumBodyBytes: 0, bodyBudget: 1},
		operators: [{name: 'ana', role: 'write', tokenHash: 'plain'}],
		voters: ['node-1', 'node-2'],
		platformUrl: 'ftp://127.0.0.1/',
	})).toMatchSnapshot();
});

test('conflicts between settings are reported together with their place', () => {
	const {dataFolder, ...diskless} = minimalSettings;
	expect(restoreSettings({
		...diskless,
		peers: [peer, peer, {...peer, node: 'node-1', peerPort: 7402}],
		voters: ['node-1', 'node-9', 'node-1'],
		limits: {maximumBodyBytes: 10, bodyBudgetBytes: 9},
	})).toMatchSnapshot();
});

test('no text makes the reader throw', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		expect(loadSettings(text).ok).toBe(false);
	}), {seed: 11, numRuns: 500});
});
