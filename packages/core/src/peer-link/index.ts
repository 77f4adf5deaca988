export type * from './types.js';
export * from './constants.js';
export * from './reduce-peer-link.js';
