import {
  indicatesFullPool,
  shortageOf,
  type PlacementRequest,
  type PlacementShortage,
  type PlacementWorker,
  type WorkerChoice,
} from '@gentiandoor/scheduling';
import type {WorkerSession} from './worker-session.js';

/** A task to place; the round adds the time. */
export type TaskPlacementRequest = Omit<PlacementRequest, 'now'>;

/** Tracks the free capacity of a service's workers during one round of placement. */
export class PlacementRound {
  private readonly sessions = new Map<string, WorkerSession>();
  private views: PlacementWorker[];
  private committedViews: PlacementWorker[];

  constructor(
    sessions: readonly WorkerSession[],
    private readonly choice: WorkerChoice,
    private readonly now: number,
  ) {
    for (const session of sessions) this.sessions.set(session.id, session);
    this.views = sessions.map(session => session.placementView(now));
    this.committedViews = [...this.views];
  }

  /**
   * Reserves capacity for a task; returns the chosen worker, or undefined if no worker
   * fits.
   */
  reserve(task: TaskPlacementRequest): WorkerSession | undefined {
    const request: PlacementRequest = {...task, now: this.now};
    const worker = this.choice.choose(request, this.views);
    if (!worker) return undefined;
    const index = this.views.indexOf(worker);
    this.views[index] = withTask(worker, request);
    return this.sessions.get(worker.id);
  }

  /** Returns whether a shortage indicates that the pool is full. */
  indicatesFullPool(shortage: PlacementShortage): boolean {
    return indicatesFullPool(shortage, this.committedViews);
  }

  /** Returns what keeps a task that found no worker from being placed. */
  shortageOf(task: TaskPlacementRequest): PlacementShortage {
    return shortageOf({...task, now: this.now}, this.committedViews);
  }

  /** Releases what was reserved since the last `commit`. */
  rollBack(): void {
    this.views = [...this.committedViews];
  }

  commit(): void {
    this.committedViews = [...this.views];
  }
}

function withTask(
  worker: PlacementWorker,
  {stepKey, step, job, isIsolated}: PlacementRequest,
): PlacementWorker {
  return {
    ...worker,
    freeMillicores:
      worker.freeMillicores - (step.bestEffort ? 0 : step.processorMillicores),
    freeMegabytes: worker.freeMegabytes - step.memoryMegabytes,
    freeAccelerators: worker.freeAccelerators - step.accelerators,
    taskCount: worker.taskCount + 1,
    latencySensitiveTaskCount:
      worker.latencySensitiveTaskCount + (step.targetMilliseconds > 0 ? 1 : 0),
    bestEffortTaskCount: worker.bestEffortTaskCount + (step.bestEffort ? 1 : 0),
    taskCountOfStep: key =>
      worker.taskCountOfStep(key) + (key === stepKey ? 1 : 0),
    isolatedJob: now => (isIsolated ? job : worker.isolatedJob(now)),
    hasCrashRiskFromOtherJob: (other, now) =>
      other !== job || worker.hasCrashRiskFromOtherJob(other, now),
  };
}
