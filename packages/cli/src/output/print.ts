/** Prints results and errors, as tables for people or as JSON for programs. */
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {ApiResult, CommandContext, ProblemDocument} from '../types.js';
import {toFields, toItems, type Fields} from '../read-fields.js';
import {formatCell, formatTable, type TableRow} from './format-table.js';

/**
 * Prints a result in the requested format.
 *
 * @param args.document - Printed with `--output json`.
 * @param args.rows - Printed with `--output table`.
 */
export function printResult(
	{io, options}: CommandContext,
	{document, rows}: {readonly document: unknown; readonly rows: readonly TableRow[]},
): void {
	io.write(options.output === 'json' ? `${JSON.stringify(document, undefined, 2)}\n` : formatTable(rows));
}

function getRefusalExitCode(status: number): ExitCode {
	switch (status) {
		case 401:
		case 403: {
			return exitCodes.forbidden;
		}

		case 404: {
			return exitCodes.notFound;
		}

		case 409:
		case 412: {
			return exitCodes.conflict;
		}

		case 400:
		case 413:
		case 422: {
			return exitCodes.invalid;
		}

		default: {
			return exitCodes.failed;
		}
	}
}

function formatConflict({kind, id, expectedRevision, current}: Fields): string {
	const name = `${formatCell(kind)} ${formatCell(id)}`;
	if (current === undefined) {
		return `  ${name}: does not exist, but revision ${formatCell(expectedRevision)} was expected`;
	}

	const {revision, changedBy, record} = toFields(current);
	return `  ${name}: current revision is ${formatCell(revision)} by ${formatCell(changedBy)}, but ${formatCell(expectedRevision)} was expected: ${formatCell(record)}`;
}

function formatProblem({title, detail, findings, conflicts}: ProblemDocument): string {
	return [
		title,
		...(detail === undefined ? [] : [detail]),
		...(findings ?? []).map(({path, message}) => `  ${path === '' ? '/' : path}: ${message}`),
		...toItems(conflicts).map(conflict => formatConflict(conflict)),
	].join('\n');
}

/** Prints why a request failed and returns the matching exit code. */
export function printFailure({io}: CommandContext, result: Exclude<ApiResult, {type: 'done'}>): ExitCode {
	if (result.type === 'refused') {
		io.writeError(`${formatProblem(result.problem)}\n`);
		return getRefusalExitCode(result.status);
	}

	if (result.ran === 'no') {
		io.writeError(`no entry host could take the request (${result.message})\n`);
		return exitCodes.unavailable;
	}

	io.writeError(`the answer was lost and the change may have been accepted (${result.message})\n`);
	return exitCodes.unknown;
}
