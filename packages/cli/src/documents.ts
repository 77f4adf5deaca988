/** Reads the record documents that operators keep in files. */
import {formatFindings, type Finding} from '@samphiremill/common';
import {
	parseJson, readDocument, recordKinds, type DocumentWrite,
} from '@samphiremill/core';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {toFields, toText, type Fields} from './read-fields.js';
import type {CommandContext} from './types.js';

/** One document from a file. */
export type LocalDocument = {
	readonly kind: string;
	readonly id: string;
	readonly document: Fields;
	/** The document with every default filled in, without metadata. */
	readonly completeDocument: Fields;
	/** Entity tag of the revision that the document was read at, without quotes. */
	readonly etag?: string;
};

/** The documents of all files, or the exit code if findings were printed. */
export type LoadedDocuments
	= | {readonly type: 'loaded'; readonly documents: readonly LocalDocument[]}
		| {readonly type: 'failed'; readonly exitCode: ExitCode};

function listDocuments(value: unknown): readonly unknown[] {
	if (Array.isArray(value)) {
		return value;
	}

	const {items} = toFields(value);
	return Array.isArray(items) ? items : [value];
}

function getCompleteDocument(write: DocumentWrite): Fields {
	return write.apiVersion === 'samphiremill/v1' ? {...write.document} : {apiVersion: write.apiVersion, ...write.record};
}

function toLocalDocument(value: unknown, write: DocumentWrite): LocalDocument {
	const document = toFields(value);
	const {etag} = toFields(document.metadata);
	return {
		kind: toText(document.kind),
		id: toText(document.id) || toText(document.name),
		document,
		completeDocument: getCompleteDocument(write),
		...(typeof etag === 'string' && {etag}),
	};
}

type ParsedFile = {readonly documents: readonly LocalDocument[]; readonly findings: readonly Finding[]};

function parseFile(text: string): ParsedFile {
	const json = parseJson(text);
	if (!json.ok) {
		return {documents: [], findings: json.err};
	}

	const documents: LocalDocument[] = [];
	const findings: Finding[] = [];
	for (const [index, item] of listDocuments(json.value).entries()) {
		const read = readDocument(item);
		if (read.ok) {
			documents.push(toLocalDocument(item, read.value));
		} else {
			findings.push(...read.err.map(finding => ({...finding, path: `/${index}${finding.path}`})));
		}
	}

	return {documents, findings};
}

const kindOrder: readonly string[] = recordKinds;

function getKindOrder({kind}: LocalDocument): number {
	return kindOrder.indexOf(kind);
}

/**
 * Reads files that contain one document, a list, or `{"items": [...]}`, and validates all of them, so
 * that nothing is sent if one is invalid. Prints every finding with its path.
 *
 * @param paths - The files; `-` is standard input.
 * @returns The documents, ordered so that those which others refer to come first, or the exit code.
 */
export async function loadDocuments({io}: CommandContext, paths: readonly string[]): Promise<LoadedDocuments> {
	const documents: LocalDocument[] = [];
	let isValid = true;
	for (const path of paths) {
		// eslint-disable-next-line no-await-in-loop -- there are few files, and findings are printed in their order
		const file = parseFile(await io.readText(path));
		documents.push(...file.documents);
		if (file.findings.length > 0) {
			io.writeError(`${path}:\n${formatFindings(file.findings)}\n`);
			isValid = false;
		}
	}

	return isValid
		? {type: 'loaded', documents: documents.toSorted((left, right) => getKindOrder(left) - getKindOrder(right))}
		: {type: 'failed', exitCode: exitCodes.invalid};
}
