import type {Command} from 'commander';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import type {CommandContext, RunAction} from '../types.js';

async function explain(context: CommandContext, kind: 'jobs' | 'workers', id: string): Promise<ExitCode> {
	const result = await context.call({method: 'GET', target: `/v1/explain/${kind}/${encodeURIComponent(id)}`});
	if (result.type !== 'done') {
		return printFailure(context, result);
	}

	const rows = toItems(toFields(result.document).decisions).map(({atMs, decision, reason, details}) => ({
		at: typeof atMs === 'number' ? new Date(atMs).toISOString() : '-',
		decision: formatCell(decision),
		reason: formatCell(reason),
		details: Object.entries(toFields(details)).map(([name, value]) => `${name}=${formatCell(value)}`).join(' '),
	}));
	printResult(context, {document: result.document, rows});
	return exitCodes.ok;
}

/** Registers `explain job` and `explain worker`. */
export function registerExplain(program: Command, run: RunAction): void {
	const command = program.command('explain').description('show the decisions on a job or a worker, and why');
	command.command('job <id>')
		.description('show the decisions on a job')
		.action(async (id: string) => run(async context => explain(context, 'jobs', id)));
	command.command('worker <id>')
		.description('show the decisions on a worker')
		.action(async (id: string) => run(async context => explain(context, 'workers', id)));
}
