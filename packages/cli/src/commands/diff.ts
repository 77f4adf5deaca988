import type {Command} from 'commander';
import {toCanonicalJson} from '@samphiremill/core';
import {loadDocuments, type LocalDocument} from '../documents.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {printFailure} from '../output/print.js';
import {toFields, toText, type Fields} from '../read-fields.js';
import type {CommandContext, RunAction} from '../types.js';

/** One field that applying a document would change. */
type Difference = {
	readonly field: string;
	readonly current: unknown;
	readonly wanted: unknown;
};

function findDifferences(current: Fields, wanted: Fields): readonly Difference[] {
	const fields = [...new Set([...Object.keys(current), ...Object.keys(wanted)])]
		.filter(field => field !== 'metadata')
		.toSorted();
	return fields
		.filter(field => toCanonicalJson(current[field]) !== toCanonicalJson(wanted[field]))
		.map(field => ({field, current: current[field], wanted: wanted[field]}));
}

function formatDifference({field, current, wanted}: Difference): readonly string[] {
	return [
		...(current === undefined ? [] : [`- ${field}: ${JSON.stringify(current)}`]),
		...(wanted === undefined ? [] : [`+ ${field}: ${JSON.stringify(wanted)}`]),
	];
}

async function diffDocument(context: CommandContext, {kind, id, completeDocument}: LocalDocument): Promise<ExitCode> {
	const result = await context.call({
		method: 'GET',
		target: `/v1/records/${kind}/${encodeURIComponent(id)}?apiVersion=${toText(completeDocument.apiVersion)}`,
	});
	const isMissing = result.type === 'refused' && result.status === 404;
	if (result.type !== 'done' && !isMissing) {
		return printFailure(context, result);
	}

	const differences = findDifferences(result.type === 'done' ? toFields(result.document) : {}, completeDocument);
	if (differences.length === 0) {
		return exitCodes.ok;
	}

	const lines = differences.flatMap(difference => formatDifference(difference));
	context.io.write(context.options.output === 'json'
		? `${JSON.stringify({kind, id, differences})}\n`
		: `${kind} ${id}\n${lines.join('\n')}\n`);
	return exitCodes.different;
}

/** Registers `diff`. */
export function registerDiff(program: Command, run: RunAction): void {
	program.command('diff')
		.description('show what apply would change; the exit status is 1 if there are differences')
		.requiredOption('-f, --file <path...>', 'files as for apply')
		.action(async ({file}: {readonly file: readonly string[]}) => run(async context => {
			const loaded = await loadDocuments(context, file);
			if (loaded.type === 'failed') {
				return loaded.exitCode;
			}

			let exitCode: ExitCode = exitCodes.ok;
			for (const document of loaded.documents) {
				// eslint-disable-next-line no-await-in-loop -- the output keeps the order of the documents
				const documentExitCode = await diffDocument(context, document);
				exitCode = Math.max(exitCode, documentExitCode) === documentExitCode ? documentExitCode : exitCode;
			}

			return exitCode;
		}));
}
