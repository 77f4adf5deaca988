export * from './jobs/index.js';
export * from './placement/index.js';
export * from './shares/index.js';
