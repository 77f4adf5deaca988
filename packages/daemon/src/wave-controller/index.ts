export type * from './types.js';
export {startDaemonWaveController} from './start-wave-duties.js';
export * from './wave-controller.js';
