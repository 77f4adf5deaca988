/**
 * Samphiremill, the operators' command-line tool.
 *
 * @packageDocumentation
 */
export {runCli} from './program.js';
export {exitCodes, type ExitCode} from './exit-codes.js';
export type {CliIo, HttpCall, HttpOutcome} from './types.js';
