/** What a caller asks to run. Sizes and times in it are the caller's guess. */
export interface StepSpecification {
  readonly taskCount: number;
  /** Thousandths of a core for each task. */
  readonly processorMillicores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
  /** The caller's guess of one task's run time; may be far off. */
  readonly estimatedMilliseconds: number;
  /** Indices of earlier steps that must be done first. */
  readonly after: readonly number[];
  /** The tasks save their progress and can be resumed. */
  readonly checkpointing: boolean;
  /** The tasks work only together. */
  readonly gang: boolean;
  /** The tasks run slower when they are spread over racks. */
  readonly sameRack: boolean;
  /** Label that the worker must have; empty for any worker. */
  readonly requiredLabel: string;
  /** Rack on which the tasks run fastest; empty for any rack. */
  readonly preferredRack: string;
  /** Most tasks of the step on one worker; 0 for no bound. */
  readonly maximumPerWorker: number;
  /** Copies may run side by side. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** What the tasks run; empty when not named. */
  readonly image: string;
  /** Bound of the tail of the response times that the tasks serve; 0 for none. */
  readonly targetMilliseconds: number;
  /** The tasks use only processor time that others leave. */
  readonly bestEffort: boolean;
  /** Most tasks that planned work may keep away at the same time; 0 for no such bound. */
  readonly mayMiss: number;
}

/** Repeated runs of a job's steps. */
export interface RepeatSpecification {
  readonly count: number;
  /** Wall-clock time of the first occurrence, milliseconds since 1970. */
  readonly startAtMilliseconds: number;
  readonly intervalMilliseconds: number;
}

/** A job as it was handed in. */
export interface JobSubmission {
  readonly id: string;
  /** Name of the queue that took it. */
  readonly queue: string;
  /** Service of the queue at that time; used when the queue is gone. */
  readonly service: string;
  /** Name of the organisation that handed it in; left out where its queue asks for no key. */
  readonly organisation?: string;
  /** Opaque text for the workers. */
  readonly payload: string;
  readonly steps: readonly StepSpecification[];
  readonly repeat?: RepeatSpecification;
  /** Wall-clock time at the daemon that took it; for order only. */
  readonly submittedAtMilliseconds: number;
}

/** Where a job stands. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Whether the job will never start a task again. */
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

/** Text form of a task's place in its job. */
export function taskKey(task: TaskIndex): string {
  return `${task.occurrence}.${task.step}.${task.index}`;
}

/** How a run ended. */
export enum RunEnd {
  Done = 'done',
  /** By its own fault or the worker's. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease ran out. */
  Lapsed = 'lapsed',
  /** Another member of its gang ended. */
  Broken = 'broken',
  /** The other members of its gang did not come. */
  Alone = 'alone',
  /** The worker can't be reached, never took the order, or left as planned. */
  Lost = 'lost',
  /** The worker ended without warning while the run was on it. */
  Crashed = 'crashed',
}

/** Number of occurrences of a job, 1 for a job that is not repeated. */
export function occurrenceCount(job: JobSubmission): number {
  return job.repeat ? job.repeat.count : 1;
}
