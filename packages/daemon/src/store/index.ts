/** The durable store: one data folder with checksummed segments, snapshots and an identity. */
export {openReplicaStore, type OpenReplicaStoreOptions} from './open-replica-store.js';
export {formatStoreError} from './store-errors.js';
export {storeFileSystem} from './store-file-system.js';
export type * from './types.js';
