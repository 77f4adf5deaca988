export type * from './types.js';
export * from './constants.js';
export * from './allocation.js';
export * from './reduce-escrow.js';
export {getResourceKey, rankForResource} from './resources.js';
export * from './team-grants/index.js';
