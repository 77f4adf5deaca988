import type {Command} from 'commander';
import {exitCodes} from '../exit-codes.js';
import {formatCell, type TableRow} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems, type Fields} from '../read-fields.js';
import type {RunAction} from '../types.js';

function toRow({apiVersion, kind, id, name, metadata, secretHash, ...fields}: Fields): TableRow {
	const cells = Object.entries(fields).map(([field, value]): [string, string] => [field, formatCell(value)]);
	const {etag, changedBy} = toFields(metadata);
	return {
		id: formatCell(id ?? name), ...Object.fromEntries(cells), revision: formatCell(etag), 'changed by': formatCell(changedBy),
	};
}

/** Registers `get`. */
export function registerGet(program: Command, run: RunAction): void {
	program.command('get <kind> [id]')
		.description('show one record, or all records of a kind')
		.action(async (kind: string, id: string | undefined) => run(async context => {
			const path = id === undefined ? kind : `${kind}/${encodeURIComponent(id)}`;
			const result = await context.call({
				method: 'GET', target: `/v1/records/${path}?apiVersion=samphiremill/${context.options.apiVersion}`,
			});
			if (result.type !== 'done') {
				return printFailure(context, result);
			}

			const {document} = result;
			const items = id === undefined ? toItems(toFields(document).items) : [toFields(document)];
			printResult(context, {document, rows: items.map(item => toRow(item))});
			return exitCodes.ok;
		}));
}
