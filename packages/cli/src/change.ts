/** Options, requests and waiting shared by all commands that change something. */
import type {Command} from 'commander';
import {
	defaultWaitSeconds, millisecondsPerSecond, pollPeriodMs,
} from './constants.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {printFailure} from './output/print.js';
import {toFields} from './read-fields.js';
import type {ApiCall, ApiResult, CommandContext} from './types.js';

/** Options of commands that change something. */
export type ChangeOptions = {
	readonly changeId?: string;
	readonly wait?: boolean;
	/** Seconds. */
	readonly waitTimeout?: string;
};

/** Adds the options that all changing commands share, and returns the same command. */
export function addChangeOptions(command: Command): Command {
	return command
		.option('--change-id <id>', 'resend the change that was first sent with this id')
		.option('--wait', 'wait until the change is in force on every entry host')
		.option('--wait-timeout <seconds>', 'maximum time to wait', String(defaultWaitSeconds));
}

/**
 * Sends a change. If the answer is lost, prints the change id with which to resend it.
 *
 * @param options - The change id given by the operator, if any, and a suffix that makes the id unique
 *   where one command sends several changes.
 */
export async function sendChange(
	context: CommandContext,
	call: ApiCall,
	{changeId: givenId, suffix = ''}: Pick<ChangeOptions, 'changeId'> & {readonly suffix?: string},
): Promise<ApiResult> {
	const baseId = givenId ?? context.io.createChangeId();
	const changeId = `${baseId}${suffix}`;
	const result = await context.call({...call, headers: {...call.headers, 'samphiremill-change-id': changeId}});
	if (result.type === 'unreachable' && result.ran === 'maybe') {
		context.io.writeError(`to find out whether the change was accepted, repeat the command with --change-id ${baseId}\n`);
	}

	return result;
}

/**
 * Waits until a change is in force on every entry host and prints the progress.
 *
 * @param index - The log index of the change.
 */
export async function waitUntilInForce(context: CommandContext, index: number, options: ChangeOptions): Promise<ExitCode> {
	const {io} = context;
	const deadlineMs = io.getNowMs() + (Number(options.waitTimeout ?? defaultWaitSeconds) * millisecondsPerSecond);
	let lastProgress = '';
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each poll starts after the previous one has ended
		const result = await context.call({method: 'GET', target: `/v1/status?index=${index}`});
		if (result.type !== 'done') {
			return printFailure(context, result);
		}

		const {hosts, ofHosts} = toFields(toFields(result.document).inForce);
		const progress = `in force on ${String(hosts)} of ${String(ofHosts)} entry hosts\n`;
		if (progress !== lastProgress) {
			io.writeError(progress);
			lastProgress = progress;
		}

		if (hosts === ofHosts) {
			return exitCodes.ok;
		}

		if (io.getNowMs() >= deadlineMs) {
			io.writeError('timed out before the change was in force on every entry host; the change stays accepted\n');
			return exitCodes.waitTimeout;
		}

		// eslint-disable-next-line no-await-in-loop -- a pause between polls
		await io.sleep(pollPeriodMs);
	}
}

/**
 * Sends one change, prints its result and, with `--wait`, waits until it is in force.
 *
 * @param args.print - Prints the document of an accepted change.
 */
export async function runChange(context: CommandContext, {call, options, print}: {
	readonly call: ApiCall;
	readonly options: ChangeOptions;
	readonly print: (document: unknown) => void;
}): Promise<ExitCode> {
	const result = await sendChange(context, call, options);
	if (result.type !== 'done') {
		return printFailure(context, result);
	}

	print(result.document);
	const {index} = toFields(result.document);
	return options.wait === true && typeof index === 'number' ? waitUntilInForce(context, index, options) : exitCodes.ok;
}
