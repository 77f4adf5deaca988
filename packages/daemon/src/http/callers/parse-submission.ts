import type {IncomingHttpHeaders} from 'node:http';
import {
	createFailure, createSuccess, toBrand, type Finding, type IdempotencyKey, type Result,
} from '@samphiremill/common';
import type {DeclaredSize, JobSpec} from '@samphiremill/core';
import {maximumDeadlineMs} from '../../runtime/constants.js';

const maximumIdempotencyKeyLength = 255;

/** The headers of a submission, parsed. */
export type SubmissionHeaders = {
	readonly idempotencyKey?: IdempotencyKey;
	readonly isFirstSend: boolean;
	readonly deadlineMs?: number;
	readonly isIdempotent: boolean;
	readonly urgency: JobSpec['urgency'];
	readonly declared?: DeclaredSize;
	readonly respondsLater: boolean;
};

type HeaderReader = {
	readonly getText: (name: string) => string | undefined;
	readonly getNumber: (name: string, range: {readonly minimum: number; readonly maximum: number}) => number | undefined;
	readonly getChoice: <Choice extends string>(name: string, choices: readonly Choice[]) => Choice | undefined;
	readonly report: (name: string, message: string) => void;
};

const createHeaderReader = (headers: IncomingHttpHeaders, findings: Finding[]): HeaderReader => {
	const report = (name: string, message: string) => {
		findings.push({path: `/headers/${name}`, message});
	};

	const getText = (name: string) => {
		const value = headers[name];
		return Array.isArray(value) ? value.join(', ') : value;
	};

	return {
		report,
		getText,
		getNumber(name, {minimum, maximum}) {
			const text = getText(name);
			if (text === undefined) {
				return undefined;
			}

			const value = Number(text);
			if (text.trim() === '' || !Number.isFinite(value) || value < minimum || value > maximum) {
				report(name, `must be a number from ${minimum} to ${maximum}`);
				return undefined;
			}

			return value;
		},
		getChoice<Choice extends string>(name: string, choices: readonly Choice[]) {
			const text = getText(name);
			const choice = choices.find(candidate => candidate === text);
			if (text !== undefined && choice === undefined) {
				report(name, `must be one of ${choices.join(', ')}`);
			}

			return choice;
		},
	};
};

const readDeclaredSize = ({getNumber, report}: HeaderReader): DeclaredSize | undefined => {
	const cores = getNumber('samphiremill-cores', {minimum: 0, maximum: 4096});
	const memoryMb = getNumber('samphiremill-memory-mb', {minimum: 0, maximum: 16_777_216});
	const runTimeMs = getNumber('samphiremill-run-time-ms', {minimum: 0, maximum: maximumDeadlineMs});
	const values = [cores, memoryMb, runTimeMs];
	if (values.every(value => value === undefined)) {
		return undefined;
	}

	if (cores === undefined || memoryMb === undefined || runTimeMs === undefined) {
		report('samphiremill-cores', 'cores, memory-mb and run-time-ms must be declared together');
		return undefined;
	}

	return {cores, memoryMb, runTimeMs};
};

const readIdempotencyKey = ({getText, report}: HeaderReader): IdempotencyKey | undefined => {
	const text = getText('idempotency-key');
	if (text === undefined) {
		return undefined;
	}

	if (text === '' || text.length > maximumIdempotencyKeyLength) {
		report('idempotency-key', `must have 1 to ${maximumIdempotencyKeyLength} characters`);
		return undefined;
	}

	return toBrand<IdempotencyKey>(text);
};

/**
 * Parses the headers of a submission.
 *
 * @returns The parsed headers, or all findings.
 */
export function parseSubmission(headers: IncomingHttpHeaders): Result<SubmissionHeaders, readonly Finding[]> {
	const findings: Finding[] = [];
	const reader = createHeaderReader(headers, findings);
	const idempotencyKey = readIdempotencyKey(reader);
	const deadlineMs = reader.getNumber('samphiremill-deadline-ms', {minimum: 1, maximum: maximumDeadlineMs});
	const declared = readDeclaredSize(reader);
	const submission: SubmissionHeaders = {
		isFirstSend: reader.getChoice('samphiremill-first-send', ['true', 'false']) === 'true',
		isIdempotent: reader.getChoice('samphiremill-idempotent', ['true', 'false']) === 'true',
		urgency: reader.getChoice('samphiremill-urgency', ['urgent', 'ordinary']) ?? 'ordinary',
		respondsLater: reader.getText('prefer')?.includes('respond-async') === true,
		...(idempotencyKey === undefined ? {} : {idempotencyKey}),
		...(deadlineMs === undefined ? {} : {deadlineMs}),
		...(declared === undefined ? {} : {declared}),
	};
	return findings.length > 0 ? createFailure(findings) : createSuccess(submission);
}
