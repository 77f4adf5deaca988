import {
	createFailure, createSuccess, toBrand, type DataCentreId, type Finding, type NodeId, type RegionId, type Result,
} from '@samphiremill/common';
import {parseDocument, parseJson} from '@samphiremill/core';
import {findConflicts} from './find-conflicts.js';
import {settingsSchema, type SettingsDocument} from './schema.js';
import type {Settings} from './types.js';

function toSettings(document: SettingsDocument): Settings {
	const {apiVersion, ...rest} = document;
	const voters = rest.voters.map(voter => toBrand<NodeId>(voter));
	const isVoter = (node: string) => rest.voters.includes(node);
	return {
		node: toBrand<NodeId>(rest.node),
		dataCentre: toBrand<DataCentreId>(rest.dataCentre),
		region: toBrand<RegionId>(rest.region),
		listen: rest.listen,
		peers: rest.peers.map(peer => ({
			node: toBrand<NodeId>(peer.node),
			dataCentre: toBrand<DataCentreId>(peer.dataCentre),
			region: toBrand<RegionId>(peer.region),
			host: peer.host,
			peerPort: peer.peerPort,
			isVoter: isVoter(peer.node),
		})),
		voters,
		isVoter: isVoter(rest.node),
		log: rest.log,
		limits: rest.limits,
		clusterSecret: rest.clusterSecret,
		operators: rest.operators,
		...(rest.dataFolder !== undefined && {dataFolder: rest.dataFolder}),
		...(rest.platformUrl !== undefined && {platformUrl: rest.platformUrl}),
		...(rest.seedRecordsFile !== undefined && {seedRecordsFile: rest.seedRecordsFile}),
	};
}

/**
 * Validates settings and fills in defaults.
 *
 * @param document - Any value, usually the parsed settings file.
 * @returns The settings, or all findings with their JSON pointers.
 */
export function restoreSettings(document: unknown): Result<Settings, readonly Finding[]> {
	const parsed = parseDocument({schema: settingsSchema, document});
	if (!parsed.ok) {
		return parsed;
	}

	const findings = findConflicts(parsed.value);
	return findings.length > 0 ? createFailure(findings) : createSuccess(toSettings(parsed.value));
}

/**
 * Parses and validates the JSON text of a settings file.
 *
 * @returns The settings, or all findings with their JSON pointers.
 */
export function loadSettings(text: string): Result<Settings, readonly Finding[]> {
	const parsed = parseJson(text);
	return parsed.ok ? restoreSettings(parsed.value) : parsed;
}
