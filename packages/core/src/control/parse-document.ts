import {
	createFailure, createSuccess, joinPath, type Finding, type Result,
} from '@samphiremill/common';
import en from 'zod/v4/locales/en.js';
import type * as z from 'zod/mini';

/** What a schema's own type is for the purposes of parsing. */
type Schema<Output> = z.ZodMiniType<Output>;

// The small build of the library carries no messages of its own.
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
 * Checks a document against a schema and collects every finding with its place.
 *
 * @param args.schema - The schema.
 * @param args.document - Any value, usually parsed JSON.
 * @returns The document in the schema's type, or all findings together.
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

/**
 * Reads JSON text. A syntax error is one finding at the root.
 *
 * @param text - The JSON text.
 * @returns The value, or the finding.
 */
export function parseJson(text: string): Result<unknown, readonly Finding[]> {
	try {
		const value: unknown = JSON.parse(text);
		return createSuccess(value);
	} catch (err) {
		const reason = err instanceof Error ? err.message : String(err);
		return createFailure([{path: '', message: `not JSON: ${reason}`}]);
	}
}
