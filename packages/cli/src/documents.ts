/** Record documents as operators keep them in files. */
import {formatFindings, type Finding} from '@samphiremill/common';
import {
	parseJson, readDocument, recordKinds, type DocumentWrite,
} from '@samphiremill/core';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {toFields, toText, type Fields} from './read-fields.js';
import type {CommandContext} from './types.js';

/** One document of a file. */
export type LocalDocument = {
	readonly kind: string;
	readonly id: string;
	readonly document: Fields;
	/** The document with every default filled in, without metadata. */
	readonly completeDocument: Fields;
	/** The entity tag of the read that the document came from, without quotes. */
	readonly etag?: string;
};

/** The documents of all files, or the exit code after the findings were written. */
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
 * Reads files of one document, a list, or `{"items": [...]}`, and checks all of it before anything
 * is sent. Documents that others refer to come first.
 *
 * @param context - The command's context.
 * @param paths - The files; `-` is standard input.
 * @returns The documents, or the exit code after every finding was written with its place.
 */
export async function loadDocuments({io}: CommandContext, paths: readonly string[]): Promise<LoadedDocuments> {
	const documents: LocalDocument[] = [];
	let isValid = true;
	for (const path of paths) {
		// eslint-disable-next-line no-await-in-loop -- files are few, and findings come in their order
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
