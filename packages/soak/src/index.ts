export * from './soak.js';
