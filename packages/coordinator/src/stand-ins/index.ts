export * from './started-runs.js';
export * from './memory-store.js';
export * from './simulated-fleet.js';
export * from './simulated-link.js';
export * from './simulated-settings.js';
export * from './simulated-worker.js';
export * from './simulated-workers.js';
