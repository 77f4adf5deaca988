import type {Command} from 'commander';
import {exitCodes} from '../exit-codes.js';
import {formatCell} from '../output/format-table.js';
import {printFailure, printResult} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import type {RunAction} from '../types.js';

/** Registers `status`. */
export function registerStatus(program: Command, run: RunAction): void {
	program.command('status')
		.description('show the entry hosts: role, health and the configuration in force')
		.action(async () => run(async context => {
			const result = await context.call({method: 'GET', target: '/v1/status'});
			if (result.type !== 'done') {
				return printFailure(context, result);
			}

			const status = toFields(result.document);
			const commitIndex = Number(status.commitIndex);
			const rows = toItems(status.hosts).map(host => ({
				host: formatCell(host.node),
				'data centre': formatCell(host.dataCentre),
				role: formatCell(host.role),
				health: formatCell(host.health),
				applied: formatCell(host.appliedIndex),
				behind: String(Math.max(0, commitIndex - Number(host.appliedIndex))),
			}));
			printResult(context, {document: status, rows});
			if (context.options.output === 'table') {
				const {hosts, ofHosts} = toFields(status.inForce);
				context.io.write([
					`answered by ${formatCell(status.node)}, whose configuration is ${status.isFresh === true ? 'fresh' : 'stale'}`,
					`commit index ${commitIndex}, in force on ${formatCell(hosts)} of ${formatCell(ofHosts)} entry hosts`,
					`leader ${formatCell(status.leader)} in term ${formatCell(status.term)}`,
					'',
				].join('\n'));
			}

			return exitCodes.ok;
		}));
}
