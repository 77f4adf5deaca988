/** Order statistics and tables for the benches. */

/**
 * @param values - Measured values.
 * @param quantile - The quantile, between 0 and 1.
 * @returns The smallest value that at least this share of the values does not exceed.
 */
export function getQuantile(values: readonly number[], quantile: number): number {
	const ascending = values.toSorted((left, right) => left - right);
	return ascending[Math.max(0, Math.ceil(quantile * ascending.length) - 1)] ?? Number.NaN;
}

/**
 * @param rows - Rows of cells, the first being the head.
 * @returns A Markdown table.
 */
export function formatTable(rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const [head = [], ...body] = rows;
	return [head, head.map(() => '---'), ...body].map(row => `| ${row.join(' | ')} |`).join('\n');
}
