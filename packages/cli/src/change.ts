/** What all commands that change something have in common. */
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

/**
 * Adds the options that all changes take.
 *
 * @param command - The command.
 * @returns The same command.
 */
export function addChangeOptions(command: Command): Command {
	return command
		.option('--change-id <id>', 'send the change again that was sent under this id')
		.option('--wait', 'wait until the change is in force on every entry host')
		.option('--wait-timeout <seconds>', 'how long to wait', String(defaultWaitSeconds));
}

/**
 * Sends a change. Where the answer is lost, tells the change id to send it again under.
 *
 * @param context - The command's context.
 * @param call - The request.
 * @param options - The change id that was given, and what tells this change from others under it.
 * @returns The result of the request.
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
		context.io.writeError(`to learn what became of it, repeat the command with --change-id ${baseId}\n`);
	}

	return result;
}

/**
 * Waits until a change is in force on every entry host, telling the progress.
 *
 * @param context - The command's context.
 * @param index - The log index of the change.
 * @param options - The command's options.
 * @returns The exit code.
 */
export async function waitUntilInForce(context: CommandContext, index: number, options: ChangeOptions): Promise<ExitCode> {
	const {io} = context;
	const deadlineMs = io.getNowMs() + (Number(options.waitTimeout ?? defaultWaitSeconds) * millisecondsPerSecond);
	let lastProgress = '';
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each poll waits for the last one
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
			io.writeError('the time to wait is over; the change stays accepted\n');
			return exitCodes.waitTimeout;
		}

		// eslint-disable-next-line no-await-in-loop -- a pause between polls
		await io.sleep(pollPeriodMs);
	}
}

/**
 * Sends one change, prints what became of it and waits where that was asked for.
 *
 * @param context - The command's context.
 * @param args.call - The request.
 * @param args.options - The command's options.
 * @param args.print - Writes the accepted result.
 * @returns The exit code.
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
