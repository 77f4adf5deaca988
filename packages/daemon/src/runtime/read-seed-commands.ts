import {readFile} from 'node:fs/promises';
import {
	createFailure, createSuccess, joinPath, toBrand, type ChangeId, type Finding, type Result, type WallClockMs,
} from '@samphiremill/common';
import {parseJson, readDocument, type ControlCommand} from '@samphiremill/core';

const readSeed = (document: unknown, index: number, nowMs: WallClockMs): Result<ControlCommand, readonly Finding[]> => {
	const read = readDocument(document);
	if (!read.ok) {
		return createFailure(read.err.map(({path, message}) => ({path: `${joinPath('', index)}${path}`, message})));
	}

	const origin = {changeId: toBrand<ChangeId>(`seed-${index}`), actor: 'seed', acceptedAtMs: nowMs};
	return createSuccess('record' in read.value
		? {type: 'control/putRecord', ...origin, record: read.value.record}
		: {type: 'control/putV1Document', ...origin, document: read.value.document});
};

/**
 * Reads the initial records of an empty log: a JSON array of documents in either schema version.
 *
 * @param options - `nowMs` is the time at which the commands count as accepted.
 * @returns The commands in the file's order (none without a file), or all findings with their JSON pointers.
 * @throws The system's error if the file cannot be read.
 */
export async function readSeedCommands({file, nowMs}: {
	readonly file: string | undefined;
	readonly nowMs: WallClockMs;
}): Promise<Result<readonly ControlCommand[], readonly Finding[]>> {
	if (file === undefined) {
		return createSuccess([]);
	}

	const parsed = parseJson(await readFile(file, 'utf8'));
	if (!parsed.ok) {
		return parsed;
	}

	if (!Array.isArray(parsed.value)) {
		return createFailure([{path: '', message: 'must be an array of documents'}]);
	}

	const results = parsed.value.map((document, index) => readSeed(document, index, nowMs));
	const findings = results.flatMap(result => result.ok ? [] : result.err);
	return findings.length > 0
		? createFailure(findings)
		: createSuccess(results.flatMap(result => result.ok ? [result.value] : []));
}
