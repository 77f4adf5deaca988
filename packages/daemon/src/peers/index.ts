export type * from './types.js';
export * from './transport.js';
export {getEncodedLength} from './frames.js';
