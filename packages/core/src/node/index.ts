/**
 * One entry host: all parts, combined in one reducer.
 *
 * @packageDocumentation
 */
export {createNodeState, reduceNode} from './reduce-node.js';
export type * from './types.js';
