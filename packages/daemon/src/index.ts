/**
 * The parts of the daemon that others may embed: the durable store and the host of a replica.
 *
 * @packageDocumentation
 */
export * from './replica-host.js';
export * from './store/index.js';
