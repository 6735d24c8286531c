/** State of a task as the platform reports it. */
export enum TaskState {
  Running = 'running',
  Finished = 'finished',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease lapsed; the task may still run on a worker that cannot be reached. */
  Lapsed = 'lapsed',
  /** For certain: it was stopped before any start, and a later start of its id does nothing. */
  NeverStarted = 'never_started',
}

/** What a task may use. */
export interface TaskSize {
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
}

/** A task to run on a VM under a lease. */
export interface TaskRequest {
  /** Names the task; the same id again returns the same task. */
  readonly id: string;
  readonly vm: string;
  readonly size: TaskSize;
  readonly leaseMilliseconds: number;
  /** What to run; opaque here. */
  readonly payload: string;
}

/** A task as the platform last reported it. */
export interface TaskReport {
  readonly id: string;
  readonly vm: string;
  readonly state: TaskState;
  /** Usage, which lags. */
  readonly usage: TaskSize;
  readonly usageAgeMilliseconds: number;
}

/** The platform's task leases. */
export interface LeaseClient {
  start(request: TaskRequest, signal?: AbortSignal): Promise<TaskReport>;
  renew(
    taskId: string,
    leaseMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<TaskReport>;
  /** Stops a task; one that was never started is barred from starting and says so. */
  stop(taskId: string, signal?: AbortSignal): Promise<TaskReport>;
  checkpoint(taskId: string, signal?: AbortSignal): Promise<TaskReport>;
  throttle(
    taskId: string,
    share: number,
    signal?: AbortSignal,
  ): Promise<TaskReport>;
  report(signal?: AbortSignal): Promise<readonly TaskReport[]>;
}
