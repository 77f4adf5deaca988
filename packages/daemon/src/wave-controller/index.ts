export type * from './types.js';
export {startDaemonWaveController} from './start-daemon-wave-controller.js';
export * from './wave-controller.js';
