/**
 * Types and functions that all packages of samphiremill share: identifiers, results, findings, hashing,
 * random numbers and time.
 *
 * @packageDocumentation
 */
export type {Brand} from './brand.js';
export * from './ids.js';
export * from './assert-never.js';
export * from './result.js';
export * from './describe-error.js';
export * from './findings.js';
export * from './rendezvous.js';
export * from './random.js';
export type * from './timer-service.js';
export * from './virtual-timer-service.js';
export * from './wait-for.js';
