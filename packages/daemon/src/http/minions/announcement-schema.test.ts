import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {getOrigin} from '../../dispatch/minion-client.js';
import {announcementSchema} from './announcement-schema.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 500);
const valid = {
	incarnation: 5, worker: 'm-1', pool: 'counter', dataCentre: 'caruaru', host: '10.0.0.1', port: 80, slots: 8, connections: 4,
};
const isAccepted = (change: Readonly<Record<string, unknown>>) => announcementSchema.safeParse({...valid, ...change}).success;

test('an announcement with a value that cannot be used is refused', () => {
	const odd: ReadonlyArray<Readonly<Record<string, unknown>>> = [
		...['', 'minion.example', '10.0.0.1:80', '256.0.0.1', 'fe80::1%eth0', 'fe80::1%25', '[::1]', ' 10.0.0.1'].map(host => ({host})),
		...[0, -1, 0.5, 65_536, 1e300, '80'].map(port => ({port})),
		...[0, -1, 0.5, Number.MAX_SAFE_INTEGER, 1e300].flatMap(amount => [{slots: amount}, {connections: amount}]),
		...['', '\u0000', '\uD800', 'x'.repeat(200), 5, null].flatMap(name => [{worker: name}, {pool: name}, {dataCentre: name}]),
		...[-1, 0.5, 1e300, '5'].map(incarnation => ({incarnation})),
	];
	expect(odd.filter(change => isAccepted(change))).toEqual([]);
	expect([{}, {host: '::1'}, {host: 'fe80::1'}].map(change => isAccepted(change))).toEqual([true, true, true]);
});

test('the address of each accepted announcement can be called', () => {
	const anyHost = fc.oneof(fc.ipV4(), fc.ipV6(), fc.tuple(fc.ipV6(), fc.string()).map(([host, zone]) => `${host}%${zone}`), fc.string({unit: 'binary'}));
	fc.assert(fc.property(anyHost, fc.oneof(fc.nat(70_000), fc.double()), (host, port) => {
		expect(!isAccepted({host, port}) || URL.canParse(getOrigin({host, port}))).toBe(true);
	}), {seed, numRuns: numberRuns});
});
