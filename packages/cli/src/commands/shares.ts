import type {Command} from 'commander';
import {millisecondsPerSecond} from '../constants.js';
import {exitCodes} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import type {RunAction} from '../types.js';

const defaultWindowSeconds = '60';

function formatSlots(value: unknown): string {
	return typeof value === 'number' ? value.toFixed(1) : '-';
}

/** Registers `shares`. */
export function registerShares(program: Command, run: RunAction): void {
	program.command('shares')
		.description('show the fair share, granted and used slots and refused jobs of each team')
		.option('--window <seconds>', 'length of the period to report, up to now', defaultWindowSeconds)
		.action(async ({window}: {readonly window: string}) => run(async context => {
			const windowMs = Number(window) * millisecondsPerSecond;
			const result = await context.call({method: 'GET', target: `/v1/shares?windowMs=${windowMs}`});
			if (result.type !== 'done') {
				return printFailure(context, result);
			}

			const rows = toItems(toFields(result.document).items).map(item => ({
				team: formatCell(item.team),
				weight: formatCell(item.weight),
				limit: formatCell(item.limit),
				due: formatSlots(item.dueSlots),
				granted: formatSlots(item.grantedSlots),
				used: formatSlots(item.usedSlots),
				refused: formatCell(item.refusedJobs),
			}));
			printResult(context, {document: result.document, rows});
			return exitCodes.ok;
		}));
}
