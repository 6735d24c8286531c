export * from './claims-model.js';
export * from './claims-state.js';
export * from './explore.js';
export * from './specification.js';
export * from './subjects.js';
