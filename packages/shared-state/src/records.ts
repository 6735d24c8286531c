import type {
  BundleChanged,
  BundleProposed,
  BundleSigned,
} from './bundle-records.js';
import type {DrainEnded, DrainStarted} from './drain-records.js';
import type {PlanningRecord} from './planning-records.js';
import type {FormatRaised, MemberJoined, MemberLeft} from './member-records.js';
import type {SnapshotTaken} from './snapshot-records.js';

export * from './bundle-records.js';
export * from './drain-records.js';
export * from './planning-records.js';
export * from './member-records.js';
export * from './record-head.js';
export * from './record-kind.js';
export * from './snapshot-records.js';

/** Any record of the fleet stream. */
export type FleetRecord =
  | BundleProposed
  | BundleChanged
  | BundleSigned
  | MemberJoined
  | MemberLeft
  | FormatRaised
  | SnapshotTaken
  | DrainStarted
  | DrainEnded
  | PlanningRecord;
