import type {Brand} from './brand.js';

/** One entry host, which is one running daemon of the system. */
export type NodeId = Brand<string, 'NodeId'>;
/** One machine of the fleet. As a member of a pool it is called a host. */
export type WorkerId = Brand<string, 'WorkerId'>;
/** One rack, a failure domain inside a data centre. */
export type RackId = Brand<string, 'RackId'>;
/** One data centre, a failure domain and a unit of network partition. */
export type DataCentreId = Brand<string, 'DataCentreId'>;
/** One region, a group of data centres. */
export type RegionId = Brand<string, 'RegionId'>;
/** One pool of hosts that serve the same queues. */
export type PoolId = Brand<string, 'PoolId'>;
/** One customer of the fleet. */
export type TeamId = Brand<string, 'TeamId'>;
/** One queue of jobs. */
export type QueueId = Brand<string, 'QueueId'>;
/** One back end that runs jobs. */
export type MinionId = Brand<string, 'MinionId'>;
/** One job, as submitted once under one idempotency key. */
export type JobId = Brand<string, 'JobId'>;
/** The record of one access key. It never contains the secret. */
export type KeyId = Brand<string, 'KeyId'>;
/** One maintenance wave. */
export type WaveId = Brand<string, 'WaveId'>;
/** One change by an operator. A retry carries the same id. */
export type ChangeId = Brand<string, 'ChangeId'>;
/** The caller's idempotency key. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;

/** Milliseconds on the monotonic clock of one process. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;
/** Milliseconds since the Unix epoch, for records that people read. */
export type WallClockMs = Brand<number, 'WallClockMs'>;

/** Brands a plain value. The expected type at the call determines the brand. */
export function toBrand<Branded>(value: Branded extends string ? string : number): Branded {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the one place where a plain value gets its brand
	return value as unknown as Branded;
}
