import process from 'node:process';
import {createIo} from './create-io.js';
import {runCli} from './program.js';

process.exitCode = await runCli(process.argv.slice(2), createIo());
