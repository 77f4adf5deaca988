export type * from './types.js';
export {startWaveDuties} from './start-wave-duties.js';
export * from './wave-controller.js';
