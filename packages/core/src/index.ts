/**
 * The coordination modules of samphiremill. Each can be used on its own.
 *
 * @packageDocumentation
 */
export * from './claims/index.js';
export * from './control/index.js';
export * from './escrow/index.js';
export * from './jobs/index.js';
export * from './membership/index.js';
export * from './minions/index.js';
export * from './moves/index.js';
export * from './node/index.js';
export * from './peer-link/index.js';
export * from './placement/index.js';
export * from './pools/index.js';
export * from './replica/index.js';
export * from './scheduler/index.js';
export * from './shares/index.js';
export type * from './step.js';
export * from './waves/index.js';
