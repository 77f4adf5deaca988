/**
 * Ownership of idempotency keys, so that a non-idempotent job runs at most once.
 *
 * @packageDocumentation
 */
export * from './constants.js';
export {createClaimName, findOwnership, type ClaimOwnership} from './ownership.js';
export {createClaimsState, reduceClaims} from './reduce-claims.js';
export {restoreClaimRecord} from './restore-claim-record.js';
export type * from './types.js';
export {hasAllRecords} from './view-changes.js';
