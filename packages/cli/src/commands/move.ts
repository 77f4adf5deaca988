import type {Command} from 'commander';
import {addChangeOptions, runChange, type ChangeOptions} from '../change.js';
import {printChanges} from '../output/print-changes.js';
import type {RunAction} from '../types.js';

/** Registers `move`. */
export function registerMove(program: Command, run: RunAction): void {
	addChangeOptions(program.command('move <worker>')
		.description('move a worker to another pool permanently: drain, release, adopt')
		.requiredOption('--to <pool>', 'the pool'))
		.action(async (worker: string, options: ChangeOptions & {readonly to: string}) => run(async context => runChange(context, {
			call: {method: 'POST', target: `/v1/workers/${encodeURIComponent(worker)}/move`, document: {pool: options.to}},
			options,
			print(document) {
				printChanges(context, document);
			},
		})));
}
