export * from './client.js';
export type * from './types.js';
