/** The durable store: a data folder with checksummed log segments, snapshots and an identity file. */
export {openReplicaStore, type OpenReplicaStoreOptions} from './open-replica-store.js';
export {formatStoreError} from './store-errors.js';
export {storeFileSystem} from './store-file-system.js';
export type * from './types.js';
