export {createMinionClient, getOrigin} from './minion-client.js';
export {reclaimSlot} from './reclaim-slot.js';
export type * from './types.js';
