export * from './wiring.js';
