export type * from './types.js';
export * from './apply-escrow-command.js';
export * from './plan-team-limit-grants.js';
export * from './restore-team-grants.js';
