/**
 * The command-line tool `samphiremill` for operators.
 *
 * @packageDocumentation
 */
export {runCli} from './program.js';
export {exitCodes, type ExitCode} from './exit-codes.js';
export type {CliIo, HttpCall, HttpOutcome} from './types.js';
