export * from './target-choice.js';
export * from './waiting-queue.js';
