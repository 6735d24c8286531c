export * from './deployment.js';
