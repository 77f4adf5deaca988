/**
 * One entry host, all parts joined behind one reducer.
 *
 * @packageDocumentation
 */
export {createNodeState, reduceNode} from './reduce-node.js';
export type * from './types.js';
