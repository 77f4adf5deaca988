export type * from './types.js';
export * from './transport.js';
