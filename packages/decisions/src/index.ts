export * from './retry-budget.js';
export * from './target-choice.js';
export * from './target-outcome.js';
export * from './waiting-queue.js';
