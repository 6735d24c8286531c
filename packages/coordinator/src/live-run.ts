import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import type {RunName} from './worker-gateway.js';

/** How far a run is, as the coordinator knows it. */
export enum RunStatus {
  /** Its room is taken; the order waits until the run is stored. */
  Planned = 'planned',
  /** The order was sent and has not been answered. */
  Ordered = 'ordered',
  /** The worker has confirmed it. */
  Confirmed = 'confirmed',
  /** An earlier coordinator ordered it; its fate is to be learned from the worker. */
  Recovered = 'recovered',
}

/** A run that may be alive on a worker. */
export interface LiveRun extends RunName {
  readonly execution: JobExecution;
  readonly executableTask: ExecutableTask;
  /** Names the step of the occurrence. */
  readonly stepKey: string;
  readonly ticket: string;
  readonly plannedAt: number;
  /** What the VM's time for it is worth, in [0, 1]. */
  readonly weight: number;
  /** Whether it is stopped when it stands still. */
  readonly stopsOnStall: boolean;
  /** Whether it starts apart from other jobs' tasks that may crash the worker. */
  readonly isIsolated: boolean;
  /** Run time to expect, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** When the order to start was first sent; undefined before, and for recovered runs. */
  orderedAt: number | undefined;
  /** When this coordinator's order to start was answered; undefined before, and for recovered runs. */
  startConfirmedAt: number | undefined;
  status: RunStatus;
  /** When the worker answered the order, or a stop; a poll that began later shows the truth. */
  orderAnsweredAt: number;
  stopRequested: boolean;
  percent: number;
  /** When `percent` last changed. */
  percentChangedAt: number;
  /** Speed that was ordered last, in percent. */
  speedPercent: number;
}

/** What differs between a run that is planned here and one that an earlier coordinator ordered. */
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

/** A run of a task of which nothing has been heard yet. */
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
    startConfirmedAt: undefined,
    stopRequested: false,
    percent: 0,
    percentChangedAt: start.plannedAt,
    speedPercent: 100,
    ...start,
  };
}

/**
 * Since when a run is known to be alive; undefined for one that is not. A run that an earlier coordinator
 * ordered counts from when it was seen.
 */
export function aliveSince({
  startConfirmedAt: beganAt,
  orderAnsweredAt: settledAt,
}: LiveRun): number | undefined {
  if (beganAt !== undefined) return beganAt;
  return Number.isFinite(settledAt) ? settledAt : undefined;
}

/** Name of a run among all jobs. */
export function runName({task, run}: RunName): string {
  return `${task}/${run}`;
}

/** Name of a task among all jobs. */
export function taskName(jobId: string, task: ExecutableTask): string {
  return `${jobId}.${task.key}`;
}

/** Name of a step of an occurrence among all jobs. */
export function stepName(jobId: string, task: ExecutableTask): string {
  return `${jobId}.${task.occurrence}.${task.step}`;
}
