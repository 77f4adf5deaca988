/**
 * The daemon and those of its parts that other programs may embed, such as the durable store, the replica
 * host and the links between entry hosts.
 *
 * @packageDocumentation
 */
export * from './peers/index.js';
export * from './replica-host.js';
export {createBoundedWriter, writeToStandardOutput, type BoundedWriter} from './runtime/bounded-writer.js';
export {createLog} from './runtime/log.js';
export {createRealTimerService} from './runtime/real-timer-service.js';
export {readSeedCommands} from './runtime/read-seed-commands.js';
export {startDaemon, type Daemon, type StartDaemonOptions} from './runtime/start-daemon.js';
export type {LogFields, Runtime, StructuredLogger} from './runtime/types.js';
export * from './scheduler/index.js';
export * from './settings/index.js';
export * from './store/index.js';
export * from './platform/index.js';
export * from './wave-controller/index.js';
