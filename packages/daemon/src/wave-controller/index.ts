export type * from './types.js';
export * from './wave-controller.js';
