export * from './golden.js';
export * from './faulty-log.js';
export * from './http-listener.js';
export * from './memory-log.js';
export * from './memory-vm-list.js';
export * from './platform-server.js';
export * from './target-server.js';
export * from './memory-peer-network.js';
