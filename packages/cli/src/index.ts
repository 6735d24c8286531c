export * from './admin-client.js';
export * from './bundle-difference.js';
export * from './command-context.js';
export * from './command-error.js';
export * from './exit-codes.js';
export * from './process-context.js';
export * from './program.js';
