export * from './job-order.js';
export * from './lease-clock.js';
export * from './worker-choice.js';
export * from './worker-room.js';
export * from './worker-trust.js';
export * from './fill-pace.js';
export * from './pool-plan.js';
export * from './wave-plan.js';
