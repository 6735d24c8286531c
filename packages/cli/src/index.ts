export * from './admin-client.js';
export * from './command-error.js';
export * from './exit-codes.js';
export * from './program.js';
