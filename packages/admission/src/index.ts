export * from './admission-policy.js';
