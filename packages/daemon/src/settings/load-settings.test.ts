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

test('a minimal settings file gets all defaults', () => {
	expect(loadSettings(JSON.stringify({...minimalSettings, peers: [peer]}))).toMatchSnapshot();
});

test('all findings of a file are reported, each with its JSON pointer', () => {
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

test('all conflicts between settings are reported, each with its JSON pointer', () => {
	const {dataFolder, ...diskless} = minimalSettings;
	expect(restoreSettings({
		...diskless,
		peers: [peer, peer, {...peer, node: 'node-1', peerPort: 7402}],
		voters: ['node-1', 'node-9', 'node-1'],
		limits: {maximumBodyBytes: 10, bodyBudgetBytes: 9},
	})).toMatchSnapshot();
});

test('loading arbitrary text or JSON fails without throwing', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		expect(loadSettings(text).ok).toBe(false);
	}), {seed: 11, numRuns: 500});
});
