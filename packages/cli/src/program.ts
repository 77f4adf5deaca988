import {Command, CommanderError, Option} from 'commander';
import {createApiClient} from './client/create-api-client.js';
import {registerApply} from './commands/apply.js';
import {registerCompletion} from './commands/completion.js';
import {registerDelete} from './commands/delete.js';
import {registerDiff} from './commands/diff.js';
import {registerExplain} from './commands/explain.js';
import {registerGet} from './commands/get.js';
import {registerHistory} from './commands/history.js';
import {registerKeys} from './commands/keys.js';
import {registerMove} from './commands/move.js';
import {registerShares} from './commands/shares.js';
import {registerStatus} from './commands/status.js';
import {registerWave} from './commands/wave.js';
import {registerWorkers} from './commands/workers.js';
import {defaultEndpoint, defaultTimeoutSeconds, millisecondsPerSecond} from './constants.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import type {CliIo, GlobalOptions, RunAction} from './types.js';

const registrations = [
	registerGet,
	registerApply,
	registerDiff,
	registerDelete,
	registerHistory,
	registerKeys,
	registerWave,
	registerWorkers,
	registerMove,
	registerStatus,
	registerShares,
	registerExplain,
] as const;

function createProgram(io: CliIo): Command {
	return new Command('samphiremill')
		.description('Controls a samphiremill fleet through any of its entry hosts.')
		.addOption(new Option('--endpoint <url>', 'URL of an entry host; if given several times, the URLs are tried in order')
			.argParser((url: string, urls: readonly string[] | undefined) => [...(urls ?? []), url]))
		.option('--token-file <path>', 'file that contains the operator token')
		.addOption(new Option('--output <format>', 'output format of results').choices(['table', 'json']).default('table'))
		.option('--timeout <seconds>', 'how long to retry a request', String(defaultTimeoutSeconds))
		.addOption(new Option('--api-version <version>', 'schema version of records').choices(['v1', 'v2']).default('v2'))
		.configureOutput({writeOut: io.write, writeErr: io.writeError})
		.addHelpText('after', [
			'',
			`Without --endpoint: SAMPHIREMILL_ENDPOINTS (comma-separated), else ${defaultEndpoint}.`,
			'Without --token-file: SAMPHIREMILL_TOKEN.',
			'Exit status: 0 done, 1 differences, 2 usage, 3 not found, 4 conflict, 5 invalid, 6 forbidden,',
			'7 unavailable (nothing changed), 8 answer lost (may have changed), 9 wait timed out, 10 other failure.',
		].join('\n'))
		.showHelpAfterError('(add --help for more)')
		.exitOverride();
}

function getEndpoints({endpoint}: GlobalOptions, env: CliIo['env']): readonly string[] {
	const fromEnvironment = env.SAMPHIREMILL_ENDPOINTS?.split(',').filter(url => url !== '');
	return endpoint ?? fromEnvironment ?? [defaultEndpoint];
}

async function getToken({tokenFile}: GlobalOptions, io: CliIo): Promise<string> {
	const token = tokenFile === undefined ? io.env.SAMPHIREMILL_TOKEN : await io.readText(tokenFile);
	return token?.trim() ?? '';
}

function getErrorExitCode(err: unknown, io: CliIo): ExitCode {
	if (err instanceof CommanderError) {
		return err.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
	}

	io.writeError(`${err instanceof Error ? err.message : String(err)}\n`);
	return exitCodes.failed;
}

/**
 * Runs one command line and returns the exit status.
 *
 * @param args - The arguments after the program's name.
 * @param io - Streams, files, clock, network and environment that the program uses.
 */
export async function runCli(args: readonly string[], io: CliIo): Promise<ExitCode> {
	const program = createProgram(io);
	let exitCode: ExitCode = exitCodes.ok;
	const run: RunAction = async action => {
		const options = program.opts<GlobalOptions>();
		const call = createApiClient({
			io,
			endpoints: getEndpoints(options, io.env),
			token: await getToken(options, io),
			timeoutMs: Number(options.timeout) * millisecondsPerSecond,
		});
		exitCode = await action({io, options, call});
	};

	for (const register of registrations) {
		register(program, run);
	}

	registerCompletion(program, io);
	try {
		await program.parseAsync(args, {from: 'user'});
		return exitCode;
	} catch (err) {
		return getErrorExitCode(err, io);
	}
}
