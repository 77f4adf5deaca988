/**
 * The pure coordination parts of samphiremill, for the daemon and for others to embed.
 *
 * @packageDocumentation
 */
export type * from './membership/index.js';
export * from './minions/index.js';
export * from './peer-link/index.js';
export type * from './step.js';
