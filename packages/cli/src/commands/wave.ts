import type {Command} from 'commander';
import {addChangeOptions, runChange, type ChangeOptions} from '../change.js';
import {watchPeriodMs} from '../constants.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printChanges} from '../output/print-changes.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems, type Fields} from '../read-fields.js';
import type {CommandContext, RunAction} from '../types.js';

const waveCommands = [
	{name: 'start', description: 'start a wave whose record is paused'},
	{name: 'pause', description: 'grant no more drains; hosts that are out of service return'},
	{name: 'resume', description: 'resume a paused wave, also one that paused itself because of failures'},
	{name: 'abort', description: 'end a wave after the hosts that are out of service have returned'},
] as const;

const endedPhases: ReadonlySet<unknown> = new Set(['completed', 'aborted']);

function registerWaveCommand(wave: Command, run: RunAction, {name, description}: typeof waveCommands[number]): void {
	addChangeOptions(wave.command(`${name} <id>`).description(description))
		.action(async (id: string, options: ChangeOptions) => run(async context => runChange(context, {
			call: {method: 'POST', target: `/v1/waves/${encodeURIComponent(id)}/${name}`},
			options,
			print(document) {
				printChanges(context, document);
			},
		})));
}

function describePause(value: unknown): string {
	const {type, workers} = toFields(value);
	return type === undefined ? '' : [type, workers].filter(part => part !== undefined).map(part => formatCell(part)).join(' ');
}

function toRow({wave, phase, pause, hosts, expectedEndAtMs, findings}: Fields) {
	const counts = toFields(hosts);
	return {
		wave: formatCell(wave),
		phase: formatCell(phase),
		returned: `${formatCell(counts.returned)}/${formatCell(counts.total)}`,
		aside: formatCell(['granted', 'draining', 'rebooting'].map(name => `${name} ${formatCell(counts[name])}`)),
		failed: formatCell(counts.failed),
		'expected end': typeof expectedEndAtMs === 'number' ? new Date(expectedEndAtMs).toISOString() : '-',
		note: [describePause(pause), ...toItems(findings).map(({message}) => formatCell(message))].filter(text => text !== '').join('; '),
	};
}

async function showProgress(context: CommandContext, id: string, isWatching: boolean): Promise<ExitCode> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each poll starts after the previous one has ended
		const result = await context.call({method: 'GET', target: `/v1/waves/${encodeURIComponent(id)}/progress`});
		if (result.type !== 'done') {
			return printFailure(context, result);
		}

		const progress = toFields(result.document);
		printResult(context, {document: progress, rows: [toRow(progress)]});
		if (!isWatching || endedPhases.has(progress.phase)) {
			return exitCodes.ok;
		}

		// eslint-disable-next-line no-await-in-loop -- a pause between polls
		await context.io.sleep(watchPeriodMs);
	}
}

/** Registers `wave start`, `pause`, `resume`, `abort` and `progress`. */
export function registerWave(program: Command, run: RunAction): void {
	const wave = program.command('wave').description('control maintenance waves');
	for (const command of waveCommands) {
		registerWaveCommand(wave, run, command);
	}

	wave.command('progress <id>')
		.description('show the progress of a wave and what delays it')
		.option('--watch', 'repeat until the wave has ended')
		.action(async (id: string, {watch}: {readonly watch?: boolean}) => run(async context =>
			showProgress(context, id, watch === true)));
}
