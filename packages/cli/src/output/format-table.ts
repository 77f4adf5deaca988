/** One row: the text of each column by its name. */
export type TableRow = Readonly<Record<string, string>>;

function formatHeading(column: string): string {
	return column.replaceAll(/(?<=[a-z])(?=[A-Z])/gv, ' ').toUpperCase();
}

/**
 * Lays out rows in columns as wide as their longest text.
 *
 * @param rows - The rows; the columns of the first one are shown.
 * @returns A heading and one line for each row, or a note that there is nothing.
 */
export function formatTable(rows: readonly TableRow[]): string {
	const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
	if (columns.length === 0) {
		return 'nothing to show\n';
	}

	const lines = [Object.fromEntries(columns.map(column => [column, formatHeading(column)])), ...rows];
	const widths = new Map(columns.map(column =>
		[column, Math.max(...lines.map(line => (line[column] ?? '').length))]));
	const formatLine = (line: TableRow) => columns
		.map(column => (line[column] ?? '').padEnd(widths.get(column) ?? 0))
		.join('  ')
		.trimEnd();
	return `${lines.map(line => formatLine(line)).join('\n')}\n`;
}

/**
 * @param value - Any value of a document.
 * @returns It as the text of one cell.
 */
export function formatCell(value: unknown): string {
	if (value === undefined) {
		return '-';
	}

	if (Array.isArray(value)) {
		return value.map(item => formatCell(item)).join(',');
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}
