import {emptyCrashCount, type CrashCount} from './crash-count.js';
import {JobState} from './job.js';

/** State of one task that must outlive the coordinator. */
export interface TaskProgress {
  /** Number of the latest run that was ordered; 0 if there is none. */
  run: number;
  done: boolean;
  /**
   * Numbers of the runs that ended as failed, so that an end that is read twice counts
   * once.
   */
  failedRuns: number[];
  crashes: CrashCount;
  /** How often it was stopped for more urgent work; stored before each of these stops. */
  preemptions: number;
  checkpoint: string;
  /** Worker whose run may be alive; empty if there is none. */
  worker: string;
  /**
   * Whether the order of the latest run is known to have been carried out, so that no order of
   * the task is in transit. Recorded only for workers that may restart under their id.
   */
  isStartExecuted: boolean;
  /**
   * Term of the coordinator that ordered the latest run; undefined if it is not known. Recorded only
   * while `isStartExecuted` matters.
   */
  orderedInTerm: number | undefined;
}

/** State of one job that must outlive the coordinator. */
export interface JobProgress {
  state: JobState;
  /** Tasks that were ordered at least once, by their `taskKey`. */
  tasks: Map<string, TaskProgress>;
}

/** Returns the progress of a job that was just accepted. */
export function emptyProgress(): JobProgress {
  return {state: JobState.Queued, tasks: new Map()};
}

/** Returns the progress of a task that was never ordered. */
export function emptyTaskProgress(): TaskProgress {
  return {
    run: 0,
    done: false,
    failedRuns: [],
    crashes: emptyCrashCount(),
    preemptions: 0,
    checkpoint: '',
    worker: '',
    isStartExecuted: false,
    orderedInTerm: undefined,
  };
}

/** Returns an independent deep copy. */
export function copyProgress(progress: JobProgress): JobProgress {
  const tasks = [...progress.tasks].map(
    ([key, task]): [string, TaskProgress] => [
      key,
      {
        ...task,
        failedRuns: [...task.failedRuns],
        crashes: {...task.crashes},
      },
    ],
  );
  return {state: progress.state, tasks: new Map(tasks)};
}
