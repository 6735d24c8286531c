import type {
  JobSize,
  MoveCause,
  VmAction,
  VmCondition,
  WaveScope,
} from './planning-records.js';
import {HashedTable} from './hashed-table.js';

/** Why a VM is out of service for planned work. */
export enum PlannedWorkKind {
  Drain = 'drain',
  Move = 'move',
  Maintenance = 'maintenance',
  /** The VM was already down, so a repair does not count against a budget. */
  Repair = 'repair',
}

/** Progress of planned work on a VM. */
export enum PlannedWorkStep {
  /** Daemons finish their exchanges on the VM and then acknowledge. */
  Draining = 'draining',
  /** A reboot or replacement of the VM was requested from the platform. */
  Asked = 'asked',
  /** The VM is back, accepts work and is monitored for a while. */
  Trial = 'trial',
}

/** Planned work on one VM; a VM has at most one at a time. */
export interface PlannedWork {
  readonly vm: string;
  readonly kind: PlannedWorkKind;
  readonly step: PlannedWorkStep;
  readonly reason: string;
  readonly writer: string;
  /** Offset of the record that started the work; identifies it. */
  readonly startedAt: number;
  /** Incarnations that were members at that offset and have not acknowledged. */
  readonly awaiting: readonly string[];
  readonly toPool?: string;
  readonly cause?: MoveCause;
  readonly wave?: string;
  readonly attempts: number;
  readonly lastAction?: VmAction;
}

/** The planner of the fleet and its term. */
export interface PlannerTerm {
  readonly term: number;
  /** Incarnation; empty before the first term. */
  readonly holder: string;
  /** Offset of the planner's last record. */
  readonly heardAt: number;
}

/** State of a wave. */
export enum WaveState {
  Running = 'running',
  Held = 'held',
  Aborted = 'aborted',
  Finished = 'finished',
}

/**
 * A maintenance wave. Its VMs are kept in `waveVms`, so that a step of one VM does not rewrite
 * them all.
 */
export interface Wave {
  readonly id: string;
  readonly reason: string;
  readonly startedBy: string;
  readonly startedAt: number;
  readonly scope: WaveScope;
  readonly state: WaveState;
  /** Why the wave has its current state. */
  readonly stateReason: string;
  /** Whether the planner, and not an operator, held the wave. */
  readonly heldByPlanner: boolean;
  readonly total: number;
  /** VMs whose maintenance has not started. */
  readonly remaining: number;
  /** VMs that are under maintenance now. */
  readonly active: number;
  readonly done: number;
  readonly failed: number;
  readonly handedOver: number;
  /**
   * Counts when the wave was started or last resumed; the pace and stop rules only consider
   * later changes.
   */
  readonly resumedAt: WaveBaseline;
}

/** Progress of a wave when it was started or last resumed. */
export interface WaveBaseline {
  readonly offset: number;
  readonly done: number;
  /** VMs that failed or were handed over. */
  readonly failures: number;
}

/** Progress of one VM of a wave. */
export enum WaveVmStep {
  Remaining = 'remaining',
  Active = 'active',
  Done = 'done',
  Failed = 'failed',
  HandedOver = 'handed_over',
}

/** One VM of a wave that has not ended. */
export interface WaveVm {
  readonly wave: string;
  readonly step: WaveVmStep;
}

/** State of a job. */
export enum JobState {
  Queued = 'queued',
  /** An attempt was placed on a VM; it may be running. */
  Placed = 'placed',
  Finished = 'finished',
  Failed = 'failed',
  /** Not run, or stopped on request. */
  Cancelled = 'cancelled',
  /** The job is not run again; `reason` says why. */
  SetAside = 'set_aside',
  /** The job is non-idempotent and it is unknown whether it ran, so it is never run again. */
  OutcomeUnknown = 'outcome_unknown',
}

/** A job according to the log. */
export interface Job {
  readonly key: string;
  readonly team: string;
  readonly pool: string;
  readonly jobClass: string;
  readonly idempotent: boolean;
  readonly size: JobSize;
  /** Empty once the job has ended. */
  readonly payload: string;
  /** Detects a different job with the same key, even after the payload was dropped. */
  readonly payloadDigest: string;
  readonly state: JobState;
  /** Number of attempts placed on VMs so far. */
  readonly attempt: number;
  readonly vm?: string;
  /** Distinct VMs on which attempts failed. */
  readonly failedOn: readonly string[];
  readonly cancelRequested: boolean;
  readonly reason?: string;
}

/** Why and since when the owner of a VM differs from the pool that the bundle lists it in. */
export interface Deviation {
  readonly cause: MoveCause;
  readonly offset: number;
}

/**
 * The planning part of the folded state. Counters of budgets and queues are derived from it in
 * `capacity-index.ts` and `job-index.ts`.
 */
export interface PlanningState {
  /** The current term, as the only entry, under `PLANNER_KEY`. */
  readonly planner: HashedTable<PlannerTerm>;
  /** Planned work by VM. */
  readonly work: HashedTable<PlannedWork>;
  /** VMs whose condition is not `up`. */
  readonly conditions: HashedTable<VmCondition>;
  readonly waves: HashedTable<Wave>;
  /** VMs of waves that have not ended. */
  readonly waveVms: HashedTable<WaveVm>;
  /** Time of the last maintenance of a VM, in wall-clock milliseconds. */
  readonly maintainedAt: HashedTable<number>;
  /** VMs that were handed over to operators, with the reason. */
  readonly handedOver: HashedTable<string>;
  /**
   * Attempts already made on VMs that failed again; the next repair continues counting from
   * there.
   */
  readonly failedAttempts: HashedTable<number>;
  /** VMs that a move assigned to a pool that does not list them in the bundle. */
  readonly deviations: HashedTable<Deviation>;
  readonly jobs: HashedTable<Job>;
  /** Keys of ended jobs with an increasing number, oldest first; bounded. */
  readonly endedJobs: HashedTable<number>;
}

/** Key of the only entry of `PlanningState.planner`. */
export const PLANNER_KEY = 'planner';

const NO_PLANNER: PlannerTerm = {term: 0, holder: '', heardAt: -1};

/** Returns the planner and its term as of the state's offset. */
export function plannerOf(state: PlanningState): PlannerTerm {
  return state.planner.get(PLANNER_KEY) ?? NO_PLANNER;
}

/** Returns the planning part of the state before the first record. */
export function emptyPlanningState(): PlanningState {
  return {
    planner: new HashedTable(),
    work: new HashedTable(),
    conditions: new HashedTable(),
    waves: new HashedTable(),
    waveVms: new HashedTable(),
    maintainedAt: new HashedTable(),
    handedOver: new HashedTable(),
    failedAttempts: new HashedTable(),
    deviations: new HashedTable(),
    jobs: new HashedTable(),
    endedJobs: new HashedTable(),
  };
}

/** Whether planned work keeps new requests away from its VM. */
export function isOutOfService(work: PlannedWork | undefined): boolean {
  return work !== undefined && work.step !== PlannedWorkStep.Trial;
}
