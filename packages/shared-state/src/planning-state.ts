import type {
  JobSize,
  MoveCause,
  VmAction,
  VmCondition,
  WaveScope,
} from './planning-records.js';
import {HashedTable} from './hashed-table.js';

/** Why a VM is out of service by plan. */
export enum PlannedWorkKind {
  Drain = 'drain',
  Move = 'move',
  Maintenance = 'maintenance',
  /** It was down before; repair takes nothing from a budget. */
  Repair = 'repair',
}

/** How far the planned work on a VM has come. */
export enum PlannedWorkStep {
  /** Daemons let their exchanges finish and acknowledge. */
  Draining = 'draining',
  /** The platform was asked to reboot or replace it. */
  Asked = 'asked',
  /** It is back and takes work; it is watched for a while. */
  Trial = 'trial',
}

/** Planned work on one VM; at most one at a time. */
export interface PlannedWork {
  readonly vm: string;
  readonly kind: PlannedWorkKind;
  readonly step: PlannedWorkStep;
  readonly reason: string;
  readonly writer: string;
  /** Offset of the record that started it: its identity. */
  readonly startedAt: number;
  /** Incarnations that were members at that offset and have not acknowledged. */
  readonly awaiting: readonly string[];
  readonly toPool?: string;
  readonly cause?: MoveCause;
  readonly wave?: string;
  readonly attempts: number;
  readonly lastAction?: VmAction;
}

/** Who plans for the fleet. */
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

/** A maintenance wave. The VMs it covers stand in `waveVms`, so that a step does not rewrite them all. */
export interface Wave {
  readonly id: string;
  readonly reason: string;
  readonly startedBy: string;
  readonly startedAt: number;
  readonly scope: WaveScope;
  readonly state: WaveState;
  /** Why it is held or ended. */
  readonly stateReason: string;
  /** Whether the planner held it, and not an operator. */
  readonly heldByPlanner: boolean;
  readonly total: number;
  /** VMs still to be taken. */
  readonly remaining: number;
  /** VMs under maintenance now. */
  readonly active: number;
  readonly done: number;
  readonly failed: number;
  readonly handedOver: number;
  /** Counts when it was started or last resumed: pace and stop rules look at what came after. */
  readonly resumedAt: WaveBaseline;
}

/** What a wave had behind it when it was started or resumed. */
export interface WaveBaseline {
  readonly offset: number;
  readonly done: number;
  /** VMs that failed or were handed over. */
  readonly failures: number;
}

/** How far one VM of a wave has come. */
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
  /** An attempt was given to a VM; it may be running. */
  Placed = 'placed',
  Finished = 'finished',
  Failed = 'failed',
  /** Not run, or stopped on request. */
  Cancelled = 'cancelled',
  /** It can never run; the reason says why. */
  SetAside = 'set_aside',
  /** Non-idempotent, and nobody can tell whether it ran: never run again. */
  OutcomeUnknown = 'outcome_unknown',
}

/** A job as the log says. */
export interface Job {
  readonly key: string;
  readonly team: string;
  readonly pool: string;
  readonly jobClass: string;
  readonly idempotent: boolean;
  readonly size: JobSize;
  /** Empty once the job has ended. */
  readonly payload: string;
  /** Tells another job under the same key, also after the payload was let go. */
  readonly payloadDigest: string;
  readonly state: JobState;
  /** Attempts given to a VM so far. */
  readonly attempt: number;
  readonly vm?: string;
  /** Distinct VMs on which attempts failed. */
  readonly failedOn: readonly string[];
  readonly cancelRequested: boolean;
  readonly reason?: string;
}

/** Ownership against the bundle's lists, with its cause. */
export interface Deviation {
  readonly cause: MoveCause;
  readonly offset: number;
}

/**
 * The fleet's part of the folded state. What is counted from it (budgets, queues) is
 * derived, see `capacity-index.ts` and `job-index.ts`.
 */
export interface PlanningState {
  /** One entry, under `PLANNER_KEY`. */
  readonly planner: HashedTable<PlannerTerm>;
  /** Planned work by VM. */
  readonly work: HashedTable<PlannedWork>;
  /** VMs whose condition is not `up`. */
  readonly conditions: HashedTable<VmCondition>;
  readonly waves: HashedTable<Wave>;
  /** VMs of waves that have not ended. */
  readonly waveVms: HashedTable<WaveVm>;
  /** Wall-clock milliseconds of the last maintenance of a VM. */
  readonly maintainedAt: HashedTable<number>;
  /** VMs that operators have to look after, with the reason. */
  readonly handedOver: HashedTable<string>;
  /** Attempts used up on VMs that failed again after them; the next repair goes on from there. */
  readonly failedAttempts: HashedTable<number>;
  /** VMs that a move took away from the bundle's lists. */
  readonly deviations: HashedTable<Deviation>;
  readonly jobs: HashedTable<Job>;
  /** Keys of ended jobs with a running number, oldest first; bounded. */
  readonly endedJobs: HashedTable<number>;
}

/** Key of the one entry of `FleetDomain.planner`. */
export const PLANNER_KEY = 'planner';

const NO_PLANNER: PlannerTerm = {term: 0, holder: '', heardAt: -1};

/** Who plans, as of the state's offset. */
export function plannerOf(state: PlanningState): PlannerTerm {
  return state.planner.get(PLANNER_KEY) ?? NO_PLANNER;
}

/** The fleet's part before the first record. */
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

/** Whether planned work keeps its VM from new requests. */
export function isOutOfService(work: PlannedWork | undefined): boolean {
  return work !== undefined && work.step !== PlannedWorkStep.Trial;
}
