/**
 * Control records, which operators write, and the state machine that applies the committed commands.
 */
export type * from './types.js';
export * from './constants.js';
export * from './parse-document.js';
export * from './parts.js';
export * from './create-control-state.js';
export * from './selectors.js';
export * from './apply-control-command.js';
export * from './schema/index.js';
export {toCanonicalJson} from './canonical-json.js';
export {controlStateFormat, serializeControlState} from './snapshot/serialize-control-state.js';
export {restoreControlState, type RestoredControlState} from './snapshot/restore-control-state.js';
