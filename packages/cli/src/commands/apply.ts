import type {Command} from 'commander';
import {
	addChangeOptions, sendChange, waitUntilInForce, type ChangeOptions,
} from '../change.js';
import {loadDocuments, type LocalDocument} from '../documents.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {printChanges} from '../output/print-changes.js';
import {printFailure} from '../output/print.js';
import {toFields, toItems} from '../read-fields.js';
import type {ApiCall, CommandContext, RunAction} from '../types.js';

type ApplyOptions = ChangeOptions & {readonly file: readonly string[]; readonly force?: boolean};

function createCall({kind, id, document, etag}: LocalDocument, isForced: boolean): ApiCall {
	return {
		method: 'PUT',
		target: `/v1/records/${kind}/${encodeURIComponent(id)}`,
		document,
		...(etag !== undefined && !isForced && {headers: {'if-match': `"${etag}"`}}),
	};
}

function printApplied(context: CommandContext, changes: readonly unknown[]): void {
	if (changes.length > 0) {
		printChanges(context, {changes});
	}
}

async function applyDocuments(
	context: CommandContext,
	documents: readonly LocalDocument[],
	options: ApplyOptions,
): Promise<ExitCode> {
	const changeId = options.changeId ?? context.io.createChangeId();
	const changes: unknown[] = [];
	let lastIndex = 0;
	for (const [position, document] of documents.entries()) {
		const suffix = documents.length === 1 ? '' : `/${document.kind}/${document.id}`;
		// eslint-disable-next-line no-await-in-loop -- documents that others refer to are written first
		const result = await sendChange(context, createCall(document, options.force === true), {changeId, suffix});
		if (result.type !== 'done') {
			printApplied(context, changes);
			const remaining = documents.slice(position).map(({kind, id}) => `${kind} ${id}`);
			context.io.writeError(`not applied: ${remaining.join(', ')}\n`);
			return printFailure(context, result);
		}

		const {index} = toFields(result.document);
		lastIndex = typeof index === 'number' ? Math.max(lastIndex, index) : lastIndex;
		changes.push(...toItems(toFields(result.document).changes));
	}

	printChanges(context, {changes, index: lastIndex});
	return options.wait === true ? waitUntilInForce(context, lastIndex, options) : exitCodes.ok;
}

/** Registers `apply`. */
export function registerApply(program: Command, run: RunAction): void {
	const command = program.command('apply')
		.description('write records from files')
		.requiredOption('-f, --file <path...>', 'files of one document, a list or {"items": [...]}; - is standard input')
		.option('--force', 'write even if a record has changed since it was read');
	addChangeOptions(command)
		.action(async (options: ApplyOptions) => run(async context => {
			const loaded = await loadDocuments(context, options.file);
			return loaded.type === 'loaded' ? applyDocuments(context, loaded.documents, options) : loaded.exitCode;
		}));
}
