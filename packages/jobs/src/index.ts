export * from './crash-count.js';
export * from './early-cancellations.js';
export * from './job.js';
export * from './job-execution.js';
export * from './job-progress.js';
export * from './job-records.js';
export * from './job-table.js';
export * from './plain-step.js';
