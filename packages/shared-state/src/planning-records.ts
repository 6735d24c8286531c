import type {
  JobPlaced,
  JobSetAside,
  JobSubmitted,
  JobsCancelled,
  JobsReported,
} from './job-records.js';
import type {
  DrainAcknowledged,
  MoveAborted,
  MoveAssigned,
  MoveStarted,
} from './move-records.js';
import type {
  PlannerRenewed,
  PlannerTaken,
  VmReported,
} from './planner-records.js';
import type {
  MaintenanceAsked,
  MaintenanceEnded,
  MaintenanceReturned,
  MaintenanceStarted,
  WaveChanged,
  WaveStarted,
} from './wave-records.js';

export * from './record-enums.js';
export * from './job-records.js';
export * from './move-records.js';
export * from './planner-records.js';
export * from './wave-records.js';

/** Any record of planning, moves, waves, repairs and jobs. */
export type PlanningRecord =
  | PlannerTaken
  | PlannerRenewed
  | VmReported
  | DrainAcknowledged
  | MoveStarted
  | MoveAssigned
  | MoveAborted
  | WaveStarted
  | WaveChanged
  | MaintenanceStarted
  | MaintenanceAsked
  | MaintenanceReturned
  | MaintenanceEnded
  | JobSubmitted
  | JobsCancelled
  | JobPlaced
  | JobsReported
  | JobSetAside;
