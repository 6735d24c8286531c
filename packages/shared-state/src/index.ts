export * from './append-budget.js';
export * from './budget-check.js';
export * from './bundle-checks.js';
export * from './bundle-parser.js';
export * from './bundle-text.js';
export * from './bundle.js';
export * from './canonical-text.js';
export * from './capacity-index.js';
export * from './codec.js';
export * from './fleet-domain.js';
export * from './fleet-state.js';
export * from './fold.js';
export * from './hashed-table.js';
export * from './job-index.js';
export * from './log-appender.js';
export * from './log-reader.js';
export * from './make-proposal.js';
export * from './once-only.js';
export * from './parse-memo.js';
export * from './peer-directory.js';
export * from './peer-links.js';
export * from './planned-work.js';
export * from './platform-leases.js';
export * from './platform-list.js';
export * from './platform-log.js';
export * from './record-handlers.js';
export * from './record-publisher.js';
export * from './records.js';
export * from './shared-state.js';
export * from './signatures.js';
export * from './snapshot-chunks.js';
export * from './snapshot.js';
export * from './state-hash.js';
export {
  ENDED_JOBS_KEPT,
  FAILURES_BEFORE_SET_ASIDE,
  MOST_ACTIVE_JOBS,
  MOST_QUEUED_OF_TEAM,
} from './fold-jobs.js';
export {MOST_BATCHED} from './fleet-record-head.js';
export * from './routing-drain.js';
export * from './vm-actions.js';
export {isEnded} from './fold-waves.js';
export * from './once-only.js';
export * from './peer-links.js';
export * from './claim-records.js';
export * from './claim-fold.js';
