import type {Clock} from '@gentiandoor/kernel';
import type {Avoidance} from '@gentiandoor/scheduling';

/** A task waits so long for a worker on which it has not failed; the others may be full of tasks that last. */
export const BAR_MILLISECONDS = 1_000;
/** A task is stopped for standing still at most on so many workers: a third one at fault is unlikely, a task of which a percent takes seconds is not. */
const MOST_STALLS = 2;

/** Workers on which runs of a task have failed, and when the last one did. */
interface Failures {
  readonly workers: ReadonlySet<string>;
  readonly newestAt: number;
}

/** Remembers where tasks have failed, so that the next try goes elsewhere. */
export class TaskFailures {
  private readonly byTask = new Map<string, Failures>();

  constructor(private readonly clock: Clock) {}

  note(task: string, worker: string): void {
    const before = this.byTask.get(task)?.workers ?? NOWHERE;
    this.byTask.set(task, {
      workers: new Set([...before, worker]),
      newestAt: this.clock.monotonicMilliseconds(),
    });
  }

  forgetJob(jobId: string): void {
    const prefix = `${jobId}.`;
    for (const task of this.byTask.keys())
      if (task.startsWith(prefix)) this.byTask.delete(task);
  }

  /** A task that has stood still or failed on several workers is left to go on: it may be far longer than its estimate. */
  isWatched(task: string): boolean {
    return (this.byTask.get(task)?.workers.size ?? 0) < MOST_STALLS;
  }

  /** Where a task goes last, or not at all for a while. */
  avoidanceOf(task: string, now: number): Avoidance {
    const failures = this.byTask.get(task);
    if (!failures) return NO_AVOIDANCE;
    const {workers, newestAt} = failures;
    return {workers, isBarred: now - newestAt < BAR_MILLISECONDS};
  }
}

const NOWHERE: ReadonlySet<string> = new Set();
const NO_AVOIDANCE: Avoidance = {workers: NOWHERE, isBarred: false};
