export * from './control/index.js';
export type * from './membership/types.js';
