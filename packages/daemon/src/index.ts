export * from './daemon.js';
export * from './daemon-options.js';
export * from './plugins.js';
export * from './wiring.js';
