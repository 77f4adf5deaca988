export * from './replica/index.js';
