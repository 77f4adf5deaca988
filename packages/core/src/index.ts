/**
 * The coordination parts of samphiremill, each usable alone.
 *
 * @packageDocumentation
 */
export * from './claims/index.js';
export * from './control/index.js';
export type * from './escrow/types.js';
export type * from './jobs/types.js';
export type * from './membership/types.js';
export type * from './step.js';
