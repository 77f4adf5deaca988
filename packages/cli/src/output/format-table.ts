/** One row of a table: the text of each cell by column name. */
export type TableRow = Readonly<Record<string, string>>;

function formatHeading(column: string): string {
	return column.replaceAll(/(?<=[a-z])(?=[A-Z])/gv, ' ').toUpperCase();
}

/**
 * Formats rows as a heading and one line per row. Each column is as wide as its longest text.
 * Without rows, returns the line `nothing to show`.
 *
 * @param rows - The rows. The table has every column that occurs in one of them.
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

/** Formats a value of a document as the text of one cell; `-` stands for a missing value. */
export function formatCell(value: unknown): string {
	if (value === undefined) {
		return '-';
	}

	if (Array.isArray(value)) {
		return value.map(item => formatCell(item)).join(',');
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}
