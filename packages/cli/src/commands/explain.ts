import type {Command} from 'commander';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import {traceLogs} from '../read-log-lines.js';
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

const formatInputs = (inputs: Readonly<Record<string, unknown>>) => Object.entries(inputs)
	.map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : formatCell(value)}`)
	.join(' ');

async function explainFromLogs(context: CommandContext, id: string, files: readonly string[]): Promise<ExitCode> {
	const texts = await Promise.all(files.map(async file => context.io.readText(file)));
	const {lines, unreadableCount} = traceLogs(texts, id);
	if (unreadableCount > 0) {
		context.io.writeError(`${unreadableCount} lines are not valid log lines\n`);
	}

	if (lines.length === 0) {
		context.io.writeError(`no log line contains ${id}\n`);
		return exitCodes.notFound;
	}

	const rows = lines.map(({atMs, node, message, inputs}) => ({
		at: new Date(atMs).toISOString(), node, message, inputs: formatInputs(inputs),
	}));
	printResult(context, {document: {items: lines}, rows});
	return exitCodes.ok;
}

/** Registers `explain job`, `explain worker` and `explain log`. */
export function registerExplain(program: Command, run: RunAction): void {
	const command = program.command('explain').description('show the decisions about a job or a worker and their reasons');
	command.command('job <id>')
		.description('show the decisions about a job')
		.action(async (id: string) => run(async context => explain(context, 'jobs', id)));
	command.command('log <id>')
		.description('show the log lines of several processes that contain an id, in order of time')
		.requiredOption('-f, --file <path...>', 'log files with one JSON object per line; - is standard input')
		.action(async (id: string, {file}: {readonly file: readonly string[]}) => run(async context => explainFromLogs(context, id, file)));
	command.command('worker <id>')
		.description('show the decisions about a worker')
		.action(async (id: string) => run(async context => explain(context, 'workers', id)));
}
