/** One error in a document, with its path as an RFC 6901 JSON pointer. */
export type Finding = {
	readonly path: string;
	readonly message: string;
};

/**
 * Appends one segment to a JSON pointer, with `~` and `/` escaped.
 *
 * @param path - The pointer; the root is the empty string.
 * @param segment - A property name or an array index.
 */
export function joinPath(path: string, segment: string | number): string {
	const escaped = String(segment).replaceAll('~', '~0').replaceAll('/', '~1');
	return `${path}/${escaped}`;
}

/** Formats findings as text, one per line. The path of the root is shown as `/`. */
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(({path, message}) => `${path === '' ? '/' : path}: ${message}`).join('\n');
}
