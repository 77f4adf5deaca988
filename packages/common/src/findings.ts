/** One thing that is wrong in a document, with its place as an RFC 6901 JSON pointer. */
export type Finding = {
	readonly path: string;
	readonly message: string;
};

/**
 * Extends a JSON pointer by one segment.
 *
 * @param path - The pointer so far; the root is the empty string.
 * @param segment - A property name or an array index.
 * @returns The longer pointer, with `~` and `/` escaped.
 */
export function joinPath(path: string, segment: string | number): string {
	const escaped = String(segment).replaceAll('~', '~0').replaceAll('/', '~1');
	return `${path}/${escaped}`;
}

/**
 * @param findings - The findings to show.
 * @returns One line a finding, the root shown as `/`.
 */
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(({path, message}) => `${path === '' ? '/' : path}: ${message}`).join('\n');
}
