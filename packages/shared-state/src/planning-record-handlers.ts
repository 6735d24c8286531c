import type {PlanningRecord} from './planning-records.js';
import * as schemas from './planning-records.js';
import {applyDrainAcknowledged} from './fold-drains.js';
import {
  applyJobPlaced,
  applyJobSetAside,
  applyJobSubmitted,
  applyJobsCancelled,
  applyJobsReported,
} from './fold-jobs.js';
import {
  applyMaintenanceAsked,
  applyMaintenanceEnded,
  applyMaintenanceReturned,
  applyMaintenanceStarted,
} from './fold-maintenance.js';
import {
  applyMoveAborted,
  applyMoveAssigned,
  applyMoveStarted,
} from './fold-moves.js';
import {
  applyPlannerRenewed,
  applyPlannerTaken,
  applyVmReported,
} from './fold-planner.js';
import {applyWaveChanged, applyWaveStarted} from './fold-waves.js';
import type {RecordHandler} from './record-handler.js';
import {RecordKind} from './record-kind.js';

/** Kinds of the records of planning, moves, waves, repairs and jobs. */
export type PlanningRecordKind = PlanningRecord['kind'];

type PlanningHandlerTable = {
  readonly [Kind in PlanningRecordKind]: RecordHandler<
    Extract<PlanningRecord, {readonly kind: Kind}>
  >;
};

/** Handlers of the planning records by kind. */
export const PLANNING_RECORD_HANDLERS: PlanningHandlerTable = {
  [RecordKind.PlannerTaken]: {
    sinceFormat: 1,
    schema: schemas.plannerTakenSchema,
    apply: applyPlannerTaken,
  },
  [RecordKind.PlannerRenewed]: {
    sinceFormat: 1,
    schema: schemas.plannerRenewedSchema,
    apply: applyPlannerRenewed,
  },
  [RecordKind.VmReported]: {
    sinceFormat: 1,
    schema: schemas.vmReportedSchema,
    apply: applyVmReported,
  },
  [RecordKind.DrainAcknowledged]: {
    sinceFormat: 1,
    schema: schemas.drainAcknowledgedSchema,
    apply: applyDrainAcknowledged,
  },
  [RecordKind.MoveStarted]: {
    sinceFormat: 1,
    schema: schemas.moveStartedSchema,
    apply: applyMoveStarted,
  },
  [RecordKind.MoveAssigned]: {
    sinceFormat: 1,
    schema: schemas.moveAssignedSchema,
    apply: applyMoveAssigned,
  },
  [RecordKind.MoveAborted]: {
    sinceFormat: 1,
    schema: schemas.moveAbortedSchema,
    apply: applyMoveAborted,
  },
  [RecordKind.WaveStarted]: {
    sinceFormat: 1,
    schema: schemas.waveStartedSchema,
    apply: applyWaveStarted,
  },
  [RecordKind.WaveChanged]: {
    sinceFormat: 1,
    schema: schemas.waveChangedSchema,
    apply: applyWaveChanged,
  },
  [RecordKind.MaintenanceStarted]: {
    sinceFormat: 1,
    schema: schemas.maintenanceStartedSchema,
    apply: applyMaintenanceStarted,
  },
  [RecordKind.MaintenanceAsked]: {
    sinceFormat: 1,
    schema: schemas.maintenanceAskedSchema,
    apply: applyMaintenanceAsked,
  },
  [RecordKind.MaintenanceReturned]: {
    sinceFormat: 1,
    schema: schemas.maintenanceReturnedSchema,
    apply: applyMaintenanceReturned,
  },
  [RecordKind.MaintenanceEnded]: {
    sinceFormat: 1,
    schema: schemas.maintenanceEndedSchema,
    apply: applyMaintenanceEnded,
  },
  [RecordKind.JobSubmitted]: {
    sinceFormat: 1,
    schema: schemas.jobSubmittedSchema,
    apply: applyJobSubmitted,
  },
  [RecordKind.JobsCancelled]: {
    sinceFormat: 1,
    schema: schemas.jobsCancelledSchema,
    apply: applyJobsCancelled,
  },
  [RecordKind.JobPlaced]: {
    sinceFormat: 1,
    schema: schemas.jobPlacedSchema,
    apply: applyJobPlaced,
  },
  [RecordKind.JobsReported]: {
    sinceFormat: 1,
    schema: schemas.jobsReportedSchema,
    apply: applyJobsReported,
  },
  [RecordKind.JobSetAside]: {
    sinceFormat: 1,
    schema: schemas.jobSetAsideSchema,
    apply: applyJobSetAside,
  },
};
