import {
	createFailure, createSuccess, joinPath, type Finding, type Result,
} from '@samphiremill/common';
import en from 'zod/v4/locales/en.js';
import type * as z from 'zod/mini';

type Schema<Output> = z.ZodMiniType<Output>;

// `zod/mini` does not include error messages.
const {localeError} = en();

function toPointer(segments: readonly PropertyKey[]): string {
	let pointer = '';
	for (const segment of segments) {
		pointer = joinPath(pointer, typeof segment === 'number' ? segment : String(segment));
	}

	return pointer;
}

function toFindings(issue: z.core.$ZodIssue): readonly Finding[] {
	const path = toPointer(issue.path);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: joinPath(path, key), message: 'unknown field'}));
	}

	return [{path, message: issue.message}];
}

/**
 * Validates a document against a schema.
 *
 * @param args.document - Any value, usually parsed JSON.
 * @returns The parsed document, or all findings with their paths.
 */
export function parseDocument<Output>(args: {
	readonly schema: Schema<Output>;
	readonly document: unknown;
}): Result<Output, readonly Finding[]> {
	const parsed = args.schema.safeParse(args.document, {error: localeError});
	return parsed.success
		? createSuccess(parsed.data)
		: createFailure(parsed.error.issues.flatMap(issue => toFindings(issue)));
}

/** Parses JSON text. A syntax error gives one finding at the root. */
export function parseJson(text: string): Result<unknown, readonly Finding[]> {
	try {
		const value: unknown = JSON.parse(text);
		return createSuccess(value);
	} catch (err) {
		const reason = err instanceof Error ? err.message : String(err);
		return createFailure([{path: '', message: `not JSON: ${reason}`}]);
	}
}
