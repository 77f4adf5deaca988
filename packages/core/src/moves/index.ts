export type * from './types.js';
export * from './apply-move-command.js';
export * from './constants.js';
export {createMovesState, findMove, restoreMovesState} from './moves-state.js';
export * from './plan-moves.js';
export * from './reduce-demand.js';
export * from './serving-pool.js';
export * from './track-releases.js';
