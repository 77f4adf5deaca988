import type {Command} from 'commander';
import {exitCodes} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems, type Fields} from '../read-fields.js';
import type {RunAction} from '../types.js';

function formatTime(value: unknown): string {
	return typeof value === 'number' ? new Date(value).toISOString() : '-';
}

function formatRecord(value: unknown): string {
	if (value === undefined) {
		return 'deleted';
	}

	const {kind, id, secretHash, ...fields} = toFields(value);
	return Object.entries(fields).map(([field, content]) => `${field}=${formatCell(content)}`).join(' ');
}

function toRow({revision, changedAtMs, changedBy, changeId, record}: Fields) {
	return {
		revision: formatCell(revision),
		changed: formatTime(changedAtMs),
		by: formatCell(changedBy),
		'change id': formatCell(changeId),
		record: formatRecord(record),
	};
}

/** Registers `history`. */
export function registerHistory(program: Command, run: RunAction): void {
	program.command('history <kind> <id>')
		.description('show the latest changes of a record, also of a deleted one')
		.action(async (kind: string, id: string) => run(async context => {
			const result = await context.call({method: 'GET', target: `/v1/records/${kind}/${encodeURIComponent(id)}/history`});
			if (result.type !== 'done') {
				return printFailure(context, result);
			}

			const {document} = result;
			printResult(context, {document, rows: toItems(toFields(document).entries).map(entry => toRow(entry))});
			return exitCodes.ok;
		}));
}
