#!/usr/bin/env -S node --max-semi-space-size=1
/**
 * The command `samphiremilld --settings FILE`, which runs one entry host.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatFindings, toBrand, type WallClockMs} from '@samphiremill/common';
import {Command} from 'commander';
import {createLog} from './runtime/log.js';
import {readSeedCommands} from './runtime/read-seed-commands.js';
import {createRealTimerService} from './runtime/real-timer-service.js';
import {startDaemon} from './runtime/start-daemon.js';
import {loadSettings} from './settings/index.js';
import {formatStoreError} from './store/index.js';

const invalidSettingsExitCode = 2;
const startFailedExitCode = 3;

const fail = (message: string, exitCode: number): never => {
	process.stderr.write(`${message}\n`);
	process.exit(exitCode);
};

const run = async (settingsFile: string) => {
	const loaded = loadSettings(await readFile(settingsFile, 'utf8'));
	if (!loaded.ok) {
		return fail(`${settingsFile} is not valid:\n${formatFindings(loaded.err)}`, invalidSettingsExitCode);
	}

	const settings = loaded.value;
	const getWallClock = () => toBrand<WallClockMs>(Date.now());
	const seeds = await readSeedCommands({file: settings.seedRecordsFile, nowMs: getWallClock()});
	if (!seeds.ok) {
		return fail(`${settings.seedRecordsFile ?? ''} is not valid:\n${formatFindings(seeds.err)}`, invalidSettingsExitCode);
	}

	const log = createLog({settings: settings.log, node: settings.node});
	const started = await startDaemon({
		settings, timers: createRealTimerService(), random: Math.random, log, getWallClock, seedCommands: seeds.value,
	});
	if (!started.ok) {
		return fail(formatStoreError(started.err), startFailedExitCode);
	}

	const stop = () => {
		void started.value.stop().then(() => {
			process.exit(0);
		});
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
};

const program = new Command('samphiremilld')
	.description('One entry host of samphiremill')
	.requiredOption('--settings <file>', 'the settings file, JSON')
	.version('0.1.0');
program.parse();
await run(program.opts<{settings: string}>().settings);
