/**
 * A step that a caller requests. Resource amounts and times are the caller's estimates.
 */
export interface StepSpecification {
  readonly taskCount: number;
  /** Thousandths of a core per task. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
  /** The caller's estimate of one task's run time, which may be far off. */
  readonly estimatedMilliseconds: number;
  /** Indices of earlier steps that must be done first. */
  readonly after: readonly number[];
  /** The tasks save their progress and can be resumed. */
  readonly checkpointing: boolean;
  /** The tasks can only run together. */
  readonly gang: boolean;
  /** The tasks run slower if they are spread over several racks. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for any worker. */
  readonly requiredLabel: string;
  /** Rack on which the tasks run fastest; empty for any rack. */
  readonly preferredRack: string;
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  readonly maximumPerWorker: number;
  /** Copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Image that the tasks run; empty if not specified. */
  readonly image: string;
  /** Limit for the tail latency of the responses that the tasks serve; 0 for none. */
  readonly targetMilliseconds: number;
  /** The tasks use only processor time left over by others. */
  readonly bestEffort: boolean;
  /**
   * Maximum number of tasks that planned work may make unavailable at the same time; 0
   * for no limit.
   */
  readonly mayMiss: number;
}

/** Repeated runs of a job's steps. */
export interface RepeatSpecification {
  readonly count: number;
  /** Wall-clock time of the first occurrence, milliseconds since 1970. */
  readonly startAtMilliseconds: number;
  readonly intervalMilliseconds: number;
}

/** A job as submitted by a caller. */
export interface JobSubmission {
  readonly id: string;
  /** Name of the queue that accepted it. */
  readonly queue: string;
  /** Service of the queue at that time; used if the queue no longer exists. */
  readonly service: string;
  /**
   * Name of the organisation that submitted it; omitted if its queue requires no key.
   */
  readonly organisation?: string;
  /** Opaque text passed to the workers. */
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  readonly repeat?: RepeatSpecification;
  /** Wall-clock time at the daemon that accepted it; used only for ordering. */
  readonly submittedAtMilliseconds: number;
}

/** State of a job. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Whether the job never starts a task again. */
export function isFinal(state: JobState): boolean {
  return (
    state === JobState.Completed ||
    state === JobState.Failed ||
    state === JobState.Cancelled
  );
}

/** Identifies a task within its job. */
export interface TaskIndex {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Returns the text form of a task's index. */
export function taskKey(task: TaskIndex): string {
  return `${task.occurrence}.${task.step}.${task.index}`;
}

/** How a run ended. */
export enum RunEnd {
  Done = 'done',
  /** Because of its own fault or the worker's. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** Its lease expired. */
  Lapsed = 'lapsed',
  /** Another member of its gang ended. */
  Broken = 'broken',
  /** The other members of its gang did not start. */
  Alone = 'alone',
  /** The worker is unreachable, never received the order, or left as planned. */
  Lost = 'lost',
  /** The worker terminated unexpectedly while the run was on it. */
  Crashed = 'crashed',
}

/** Returns the number of occurrences of a job: 1 for a job that is not repeated. */
export function occurrenceCount(job: JobSubmission): number {
  return job.repeat ? job.repeat.count : 1;
}
