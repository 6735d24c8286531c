import type {ExecutableTask, JobExecution, RunEnd} from '@gentiandoor/jobs';
import type {RunName} from './worker-gateway.js';

/** Status of a run as known to the coordinator. */
export enum RunStatus {
  /** Its resources are reserved; the order is sent once the run is stored. */
  Planned = 'planned',
  /** The order was sent and the worker has not responded yet. */
  Ordered = 'ordered',
  /** The worker has confirmed the run. */
  Confirmed = 'confirmed',
  /** An earlier coordinator ordered it; the worker still has to report whether it runs. */
  Recovered = 'recovered',
}

/** The incarnation that a run was ordered on, which is over. */
export interface FormerIncarnation {
  /** How the run ended if it ran there. */
  readonly end: RunEnd;
  readonly endedAt: number;
}

/** A run that may be alive on a worker. */
export interface LiveRun extends RunName {
  readonly execution: JobExecution;
  readonly executableTask: ExecutableTask;
  /** Identifies the step within its occurrence of the job. */
  readonly stepKey: string;
  readonly ticket: string;
  readonly plannedAt: number;
  /** Value of the VM time spent on it, in [0, 1]. */
  readonly weight: number;
  /** Whether it is stopped when it stalls. */
  readonly stopsOnStall: boolean;
  /** Whether it starts isolated from other jobs' tasks that may crash the worker. */
  readonly isIsolated: boolean;
  /** Expected run time in milliseconds. */
  readonly expectedMilliseconds: number;
  /** When the start order was first sent; undefined before, and for recovered runs. */
  orderedAt: number | undefined;
  /**
   * Time by which the start order had left this daemon; undefined before it was sent, and for
   * recovered runs.
   */
  startSentAt: number | undefined;
  /** When a poll last listed it on the present incarnation of its worker. */
  listedAt: number | undefined;
  /**
   * The incarnation that it was ordered on, if that is over and the present one has not
   * listed the run.
   */
  carriedFrom: FormerIncarnation | undefined;
  /**
   * When the worker confirmed this coordinator's start order; undefined before, and for recovered
   * runs.
   */
  startConfirmedAt: number | undefined;
  status: RunStatus;
  /**
   * When the worker responded to the start or a stop order; polls that began later are
   * authoritative.
   */
  orderAnsweredAt: number;
  stopRequested: boolean;
  percent: number;
  /** When `percent` last changed. */
  percentChangedAt: number;
  /** Speed ordered last, in percent. */
  speedPercent: number;
}

/** Fields that differ between a run planned here and one that an earlier coordinator ordered. */
export type NewRunFields = Pick<
  LiveRun,
  | 'run'
  | 'plannedAt'
  | 'weight'
  | 'expectedMilliseconds'
  | 'stopsOnStall'
  | 'isIsolated'
  | 'status'
  | 'orderAnsweredAt'
>;

/** Creates a run that its worker has not reported on yet. */
export function newLiveRun(
  execution: JobExecution,
  task: ExecutableTask,
  start: NewRunFields,
): LiveRun {
  return {
    execution,
    executableTask: task,
    task: taskName(execution.job.id, task),
    stepKey: stepName(execution.job.id, task),
    ticket: '',
    orderedAt: undefined,
    startSentAt: undefined,
    listedAt: undefined,
    carriedFrom: undefined,
    startConfirmedAt: undefined,
    stopRequested: false,
    percent: 0,
    percentChangedAt: start.plannedAt,
    speedPercent: 100,
    ...start,
  };
}

/**
 * Returns since when a run is known to be alive; undefined if it is not known to be. A run that an
 * earlier coordinator ordered counts from when this coordinator first saw it.
 */
export function aliveSince({
  startConfirmedAt,
  orderAnsweredAt,
}: LiveRun): number | undefined {
  if (startConfirmedAt !== undefined) return startConfirmedAt;
  return Number.isFinite(orderAnsweredAt) ? orderAnsweredAt : undefined;
}

/** Returns the name of a run, unique among all jobs. */
export function runName({task, run}: RunName): string {
  return `${task}/${run}`;
}

/** Returns the name of a task, unique among all jobs. */
export function taskName(jobId: string, task: ExecutableTask): string {
  return `${jobId}.${task.key}`;
}

/** Returns the name of a step of an occurrence, unique among all jobs. */
export function stepName(jobId: string, task: ExecutableTask): string {
  return `${jobId}.${task.occurrence}.${task.step}`;
}
