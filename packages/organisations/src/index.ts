export * from './access.js';
export * from './access-guard.js';
export * from './key-digest.js';
export * from './key-ring.js';
export * from './organisation.js';
export * from './organisation-book.js';
export * from './organisation-labels.js';
export * from './room-ledger.js';
