/**
 * The daemon, and the parts of it that others may embed: the durable store, the host of a replica and
 * the links between entry hosts.
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
export type {StructuredLogger, LogFields, Runtime} from './runtime/types.js';
export * from './scheduler/index.js';
export * from './settings/index.js';
export * from './store/index.js';
export * from './platform/index.js';
export * from './wave-controller/index.js';
