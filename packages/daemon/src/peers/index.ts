export type * from './types.js';
export * from './transport.js';
export {getEncodedBytes} from './frames.js';
