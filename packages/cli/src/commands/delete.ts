import type {Command} from 'commander';
import {addChangeOptions, runChange, type ChangeOptions} from '../change.js';
import {printChanges} from '../output/print-changes.js';
import type {RunAction} from '../types.js';

type DeleteOptions = ChangeOptions & {readonly revision?: string};

/** Registers `delete`. */
export function registerDelete(program: Command, run: RunAction): void {
	const command = program.command('delete <kind> <id>')
		.description('delete a record that no other record refers to')
		.option('--revision <revision>', 'delete only if the record is still at this revision');
	addChangeOptions(command)
		.action(async (kind: string, id: string, options: DeleteOptions) => run(async context => runChange(context, {
			call: {
				method: 'DELETE',
				target: `/v1/records/${kind}/${encodeURIComponent(id)}?apiVersion=samphiremill/${context.options.apiVersion}`,
				...(options.revision !== undefined && {headers: {'if-match': `"${options.revision}"`}}),
			},
			options,
			print(document) {
				printChanges(context, document);
			},
		})));
}
