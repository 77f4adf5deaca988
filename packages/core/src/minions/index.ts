export type * from './types.js';
export * from './constants.js';
export * from './reduce-minions.js';
export * from './selectors.js';
