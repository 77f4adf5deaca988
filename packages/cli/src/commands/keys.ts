import type {Command} from 'commander';
import {addChangeOptions, runChange, type ChangeOptions} from '../change.js';
import {formatCell} from '../output/format-table.js';
import {printChanges} from '../output/print-changes.js';
import {printResult} from '../output/print.js';
import {toFields} from '../read-fields.js';
import type {RunAction} from '../types.js';

function registerGrant(keys: Command, run: RunAction): void {
	addChangeOptions(keys.command('grant <id>')
		.description('grant a key to a team; its secret is shown only once')
		.requiredOption('--team <team>', 'the team'))
		.action(async (id: string, options: ChangeOptions & {readonly team: string}) => run(async context => runChange(context, {
			call: {method: 'POST', target: '/v1/keys', document: {id, team: options.team}},
			options,
			print(document) {
				const {team, secret} = toFields(document);
				printResult(context, {document, rows: [{id, team: formatCell(team), secret: formatCell(secret)}]});
			},
		})));
}

function registerWithdraw(keys: Command, run: RunAction): void {
	addChangeOptions(keys.command('withdraw <id>')
		.description('revoke a key; it stops working within seconds'))
		.action(async (id: string, options: ChangeOptions) => run(async context => runChange(context, {
			call: {method: 'DELETE', target: `/v1/keys/${encodeURIComponent(id)}`},
			options,
			print(document) {
				printChanges(context, document);
			},
		})));
}

/** Registers `keys grant` and `keys withdraw`. */
export function registerKeys(program: Command, run: RunAction): void {
	const keys = program.command('keys').description('grant and revoke access keys');
	registerGrant(keys, run);
	registerWithdraw(keys, run);
}
