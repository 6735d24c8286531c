import type {Clock} from '@gentiandoor/kernel';
import {mustIsolate, type Avoidance} from '@gentiandoor/scheduling';

/** A failed task avoids the workers concerned for this long. */
export const AVOIDANCE_MILLISECONDS = 1_000;
/** After this many stalls the task itself is assumed to be slow. */
const MAXIMUM_STALLS = 2;

/** Workers on which runs of a task failed, and the time of the last failure. */
interface Failures {
  readonly workers: ReadonlySet<string>;
  readonly lastFailedAt: number;
}

/**
 * Remembers where tasks failed or crashed their workers, so that the next attempt runs on
 * another worker, or isolated.
 */
export class TaskFailures {
  private readonly byTask = new Map<string, Failures>();
  /** Time of the last worker crash while the task ran, by task. */
  private readonly crashedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  note(task: string, worker: string): void {
    const before = this.byTask.get(task)?.workers ?? NO_WORKERS;
    this.byTask.set(task, {
      workers: new Set([...before, worker]),
      lastFailedAt: this.clock.monotonicMilliseconds(),
    });
  }

  noteCrash(task: string): void {
    this.crashedAt.set(task, this.clock.monotonicMilliseconds());
  }

  forgetJob(jobId: string): void {
    const prefix = `${jobId}.`;
    for (const tasks of [this.byTask, this.crashedAt])
      for (const task of tasks.keys())
        if (task.startsWith(prefix)) tasks.delete(task);
  }

  /**
   * Returns whether a task must be isolated if it starts now; `crashes` is the number of
   * workers, at least one, that crashed while running it.
   */
  mustIsolate(task: string, crashes: number): boolean {
    // The crashes were seen by an earlier coordinator: the waiting time begins now.
    if (!this.crashedAt.has(task)) this.noteCrash(task);
    const now = this.clock.monotonicMilliseconds();
    return mustIsolate(crashes, now - (this.crashedAt.get(task) ?? now));
  }

  /**
   * Returns whether a stalled run of the task is to be stopped. A task that stalled or
   * failed on several workers is left running: it may take far longer than its estimate.
   */
  stopsOnStall(task: string): boolean {
    return (this.byTask.get(task)?.workers.size ?? 0) < MAXIMUM_STALLS;
  }

  /**
   * Returns the workers that a task is placed on last, or, for a while after a failure,
   * not at all.
   */
  avoidanceOf(task: string, now: number): Avoidance {
    const failures = this.byTask.get(task);
    if (!failures) return NO_AVOIDANCE;
    const {workers, lastFailedAt} = failures;
    return {workers, isMandatory: now - lastFailedAt < AVOIDANCE_MILLISECONDS};
  }
}

const NO_WORKERS: ReadonlySet<string> = new Set();
const NO_AVOIDANCE: Avoidance = {workers: NO_WORKERS, isMandatory: false};
