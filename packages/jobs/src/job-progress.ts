import {emptyCrashCount, type CrashCount} from './crash-count.js';
import {JobState} from './job.js';

/** What must outlast the coordinator about one task. */
export interface TaskProgress {
  /** Number of the last run that was ordered; 0 for none. */
  run: number;
  done: boolean;
  /** Numbers of the runs that ended as failed: an end that is read twice counts once. */
  failedRuns: number[];
  crashes: CrashCount;
  checkpoint: string;
  /** Worker whose run may be alive; empty for none. */
  worker: string;
}

/** What must outlast the coordinator about one job. */
export interface JobProgress {
  state: JobState;
  /** Tasks that were ordered at least once, by `taskKey`. */
  tasks: Map<string, TaskProgress>;
}

/** Progress of a job that was just taken in. */
export function emptyProgress(): JobProgress {
  return {state: JobState.Queued, tasks: new Map()};
}

/** A task that was never ordered. */
export function emptyTaskProgress(): TaskProgress {
  return {
    run: 0,
    done: false,
    failedRuns: [],
    crashes: emptyCrashCount(),
    checkpoint: '',
    worker: '',
  };
}

/** A copy that changes by itself. */
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
