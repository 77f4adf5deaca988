/** Quantiles and Markdown tables for the benchmarks. */

/**
 * Gets the smallest value that is greater than or equal to the given fraction of the values.
 *
 * @param quantile - From 0 to 1.
 * @returns `NaN` if there are no values.
 */
export function getQuantile(values: readonly number[], quantile: number): number {
	const ascending = values.toSorted((left, right) => left - right);
	return ascending[Math.max(0, Math.ceil(quantile * ascending.length) - 1)] ?? Number.NaN;
}

/** Formats rows of cells as a Markdown table. The first row holds the column headings. */
export function formatTable(rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const [head = [], ...body] = rows;
	return [head, head.map(() => '---'), ...body].map(row => `| ${row.join(' | ')} |`).join('\n');
}
