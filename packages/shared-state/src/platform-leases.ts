/** State of a task as the platform reports it. */
export enum TaskState {
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease lapsed; the task may still be running on an unreachable worker. */
  Lapsed = 'lapsed',
  /** The task was stopped before any start; starting its id later has no effect. */
  NeverStarted = 'never_started',
}

/** Resources of a task. */
export interface TaskSize {
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
}

/** A task to run on a VM under a lease. */
export interface TaskRequest {
  /** Identifies the task; starting the same id again returns the same task. */
  readonly id: string;
  readonly vm: string;
  readonly size: TaskSize;
  readonly leaseMilliseconds: number;
  /** What to run; not interpreted here. */
  readonly payload: string;
}

/** A task as the platform last reported it. */
export interface TaskReport {
  readonly id: string;
  readonly vm: string;
  readonly state: TaskState;
  /** Measured usage, which lags behind. */
  readonly usage: TaskSize;
  readonly usageAgeMilliseconds: number;
}

/** Client of the platform's task leases. */
export interface LeaseClient {
  start(request: TaskRequest, signal?: AbortSignal): Promise<TaskReport>;
  renew(
    taskId: string,
    leaseMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TaskReport>;
  /** Stops a task; one that was never started can no longer be started and is reported as such. */
  stop(taskId: string, signal?: AbortSignal): Promise<TaskReport>;
  checkpoint(taskId: string, signal?: AbortSignal): Promise<TaskReport>;
  throttle(
    taskId: string,
    share: number,
    signal?: AbortSignal,
  ): Promise<TaskReport>;
  report(signal?: AbortSignal): Promise<readonly TaskReport[]>;
}
