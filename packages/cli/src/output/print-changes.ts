import {toFields, toItems} from '../read-fields.js';
import type {CommandContext} from '../types.js';
import {formatCell} from './format-table.js';
import {printResult} from './print.js';

/**
 * Prints what an accepted change did to each record.
 *
 * @param document - The answer of the entry host.
 */
export function printChanges(context: CommandContext, document: unknown): void {
	const rows = toItems(toFields(document).changes).map(({kind, id, outcome, revision}) => ({
		kind: formatCell(kind), id: formatCell(id), outcome: formatCell(outcome), revision: formatCell(revision),
	}));
	printResult(context, {document, rows});
}
