import {joinPath, type Finding} from '@samphiremill/common';
import type {SettingsDocument} from './schema.js';

function findDuplicates(args: {
	readonly path: string;
	readonly values: readonly string[];
	readonly getPath: (index: number) => string;
}): readonly Finding[] {
	const findings: Finding[] = [];
	for (const [index, value] of args.values.entries()) {
		if (args.values.indexOf(value) < index) {
			findings.push({path: args.getPath(index), message: `${JSON.stringify(value)} appears twice in ${args.path}`});
		}
	}

	return findings;
}

function findPeerConflicts({node, peers}: SettingsDocument): readonly Finding[] {
	const createPathGetter = (field: string) => (index: number) => joinPath(joinPath('/peers', index), field);
	const ownIndex = peers.findIndex(peer => peer.node === node);
	return [
		...findDuplicates({path: '/peers', values: peers.map(peer => peer.node), getPath: createPathGetter('node')}),
		...findDuplicates({
			path: '/peers',
			values: peers.map(({host, peerPort}) => `${host}:${peerPort}`),
			getPath: createPathGetter('peerPort'),
		}),
		...(ownIndex === -1 ? [] : [{path: createPathGetter('node')(ownIndex), message: 'names this node itself'}]),
	];
}

function findVoterConflicts({node, peers, voters, dataFolder}: SettingsDocument): readonly Finding[] {
	const known = new Set([node, ...peers.map(peer => peer.node)]);
	const findings = [...findDuplicates({
		path: '/voters', values: voters, getPath: index => joinPath('/voters', index),
	})];
	for (const [index, voter] of voters.entries()) {
		if (!known.has(voter)) {
			findings.push({path: joinPath('/voters', index), message: `${voter} is neither this node nor a peer`});
		}
	}

	if (voters.includes(node) && dataFolder === undefined) {
		findings.push({path: '/dataFolder', message: 'is required, since this node is a voter'});
	}

	return findings;
}

function findLimitConflicts({limits}: SettingsDocument): readonly Finding[] {
	return limits.bodyBudgetBytes < limits.maximumBodyBytes
		? [{path: '/limits/bodyBudgetBytes', message: 'is below maximumBodyBytes, so a body of the maximum size does not fit'}]
		: [];
}

/**
 * Finds conflicts between settings that are each valid on their own.
 *
 * @returns All findings, each with its JSON pointer.
 */
export function findConflicts(settings: SettingsDocument): readonly Finding[] {
	return [
		...findPeerConflicts(settings),
		...findVoterConflicts(settings),
		...findLimitConflicts(settings),
		...findDuplicates({
			path: '/operators',
			values: settings.operators.map(({name}) => name),
			getPath: index => joinPath(joinPath('/operators', index), 'name'),
		}),
	];
}
