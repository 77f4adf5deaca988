export type * from './types.js';
export * from './constants.js';
export * from './plan-views.js';
export * from './reduce-membership.js';
export {listLivePeers, type MembershipSend} from './nodes.js';
export {getReporter} from './summaries.js';
export {createMembershipView, getFleetView, isSameView} from './view.js';
