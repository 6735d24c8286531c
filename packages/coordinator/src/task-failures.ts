import type {Clock} from '@gentiandoor/kernel';
import {mustIsolate, type Avoidance} from '@gentiandoor/scheduling';

/** A task that has failed avoids the workers concerned for this long. */
export const AVOIDANCE_MILLISECONDS = 1_000;
/** After this many stalls the task itself is assumed to be slow. */
const MAXIMUM_STALLS = 2;

/** Workers on which runs of a task have failed, and when the last one did. */
interface Failures {
  readonly workers: ReadonlySet<string>;
  readonly lastFailedAt: number;
}

/** Remembers where tasks have failed or crashed their workers, so that the next try goes elsewhere, or apart. */
export class TaskFailures {
  private readonly byTask = new Map<string, Failures>();
  /** When a worker last crashed under a task. */
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

  /** Whether a task under which `crashes` workers, one at least, have crashed is kept apart if it starts now. */
  mustIsolate(task: string, crashes: number): boolean {
    // An earlier coordinator saw the crashes: the wait begins here.
    if (!this.crashedAt.has(task)) this.noteCrash(task);
    const now = this.clock.monotonicMilliseconds();
    return mustIsolate(crashes, now - (this.crashedAt.get(task) ?? now));
  }

  /** A task that has stood still or failed on several workers is left to go on: it may be far longer than its estimate. */
  stopsOnStall(task: string): boolean {
    return (this.byTask.get(task)?.workers.size ?? 0) < MAXIMUM_STALLS;
  }

  /** Where a task goes last, or not at all for a while. */
  avoidanceOf(task: string, now: number): Avoidance {
    const failures = this.byTask.get(task);
    if (!failures) return NO_AVOIDANCE;
    const {workers, lastFailedAt: newestAt} = failures;
    return {workers, isMandatory: now - newestAt < AVOIDANCE_MILLISECONDS};
  }
}

const NO_WORKERS: ReadonlySet<string> = new Set();
const NO_AVOIDANCE: Avoidance = {workers: NO_WORKERS, isMandatory: false};
