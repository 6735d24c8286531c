export * from './daemon.js';
export * from './plugins.js';
export * from './wiring.js';
