export * from './waves/index.js';
