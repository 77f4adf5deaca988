export {createMinionClient} from './minion-client.js';
export type * from './types.js';
