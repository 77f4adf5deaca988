import type {Command} from 'commander';
import {exitCodes} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import type {RunAction} from '../types.js';

type WorkersOptions = {readonly pool?: string; readonly dataCentre?: string; readonly moving?: boolean};

function createTarget({pool, dataCentre, moving}: WorkersOptions): string {
	const query = new URLSearchParams({
		...(pool !== undefined && {pool}),
		...(dataCentre !== undefined && {dataCentre}),
	});
	const path = moving === true ? '/v1/moves' : '/v1/workers';
	return query.size === 0 ? path : `${path}?${query.toString()}`;
}

/** Registers `workers`. */
export function registerWorkers(program: Command, run: RunAction): void {
	program.command('workers')
		.description('list workers with the pool that currently owns each')
		.option('--pool <pool>', 'only workers that this pool owns')
		.option('--data-centre <id>', 'only workers in this data centre')
		.option('--moving', 'only workers that are outside their home pool or moving to another pool')
		.action(async (options: WorkersOptions) => run(async context => {
			const result = await context.call({method: 'GET', target: createTarget(options)});
			if (result.type !== 'done') {
				return printFailure(context, result);
			}

			const rows = toItems(toFields(result.document).items).map(item => ({
				worker: formatCell(item.worker),
				'data centre': formatCell(item.dataCentre),
				rack: formatCell(item.rack),
				pool: formatCell(item.pool),
				home: formatCell(item.homePool),
				'moving to': formatCell(item.movingTo),
				condition: formatCell(item.condition),
			}));
			printResult(context, {document: result.document, rows});
			return exitCodes.ok;
		}));
}
