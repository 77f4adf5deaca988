/**
 * Control records: what operators write, and the state machine over the committed commands.
 */
export type * from './types.js';
export * from './parse-document.js';
