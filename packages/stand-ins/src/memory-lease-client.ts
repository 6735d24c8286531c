import type {Clock} from '@gentiandoor/kernel';
import {
  TaskState,
  type LeaseClient,
  type TaskReport,
  type TaskRequest,
  type TaskSize,
} from '@gentiandoor/shared-state';

/** Faults of the platform's lease API; tests add them to `faults`. */
export enum LeaseFault {
  /** Every call fails. */
  Outage = 'outage',
  /** Calls take effect, but their responses are lost. */
  LostResponses = 'lost_answers',
}

/** How a started task behaves. */
export interface TaskBehaviour {
  readonly runMilliseconds: number;
  readonly fails: boolean;
  /** Actual usage, which may differ from the declared size. */
  readonly usage: TaskSize;
}

interface Task {
  readonly request: TaskRequest;
  readonly behaviour: TaskBehaviour;
  readonly startedAt: number;
  leaseEnds: number;
  /** How the task ended; undefined while it runs. */
  ended: TaskState | undefined;
  share: number;
  checkpointed: boolean;
}

const NO_USAGE: TaskSize = {processors: 0, memoryGigabytes: 0, accelerators: 0};

/**
 * In-memory task leases of the platform. An id starts at most once, reported usage lags, and a
 * task ends when its lease expires.
 */
export class MemoryLeaseClient implements LeaseClient {
  readonly faults = new Set<LeaseFault>();
  /** Age of the usage in reports; until then a report shows the declared size. */
  usageLagMilliseconds = 30_000;
  /** Starts by task id; a count over one means that a task ran twice. */
  readonly startCounts = new Map<string, number>();
  private readonly tasks = new Map<string, Task>();
  private readonly neverStartedIds = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly behaviourOf: (request: TaskRequest) => TaskBehaviour,
  ) {}

  async start(request: TaskRequest): Promise<TaskReport> {
    this.throwDuringOutage();
    const {id} = request;
    if (!this.neverStartedIds.has(id) && !this.tasks.has(id)) this.run(request);
    return this.respond(id);
  }

  async renew(id: string, leaseMilliseconds: number): Promise<TaskReport> {
    this.throwDuringOutage();
    const task = this.updatedTask(id);
    if (task && !task.ended) task.leaseEnds = this.now() + leaseMilliseconds;
    return this.respond(id);
  }

  async stop(id: string): Promise<TaskReport> {
    this.throwDuringOutage();
    const task = this.updatedTask(id);
    if (!task) this.neverStartedIds.add(id);
    else task.ended ??= TaskState.Stopped;
    return this.respond(id);
  }

  async checkpoint(id: string): Promise<TaskReport> {
    this.throwDuringOutage();
    const task = this.updatedTask(id);
    if (task) task.checkpointed = true;
    return this.respond(id);
  }

  async throttle(id: string, share: number): Promise<TaskReport> {
    this.throwDuringOutage();
    const task = this.updatedTask(id);
    if (task) task.share = share;
    return this.respond(id);
  }

  async report(): Promise<readonly TaskReport[]> {
    this.throwDuringOutage();
    const ids = [...this.tasks.keys(), ...this.neverStartedIds];
    return ids.map(id => this.describe(id));
  }

  /** Returns whether a checkpoint of the task was written. */
  wasCheckpointed(id: string): boolean {
    return this.tasks.get(id)?.checkpointed ?? false;
  }

  private run(request: TaskRequest): void {
    this.startCounts.set(
      request.id,
      (this.startCounts.get(request.id) ?? 0) + 1,
    );
    this.tasks.set(request.id, {
      request,
      behaviour: this.behaviourOf(request),
      startedAt: this.now(),
      leaseEnds: this.now() + request.leaseMilliseconds,
      ended: undefined,
      share: 1,
      checkpointed: false,
    });
  }

  /** Returns the task after updating its state to the current time. */
  private updatedTask(id: string): Task | undefined {
    const task = this.tasks.get(id);
    if (!task || task.ended) return task;
    const finishes = task.startedAt + task.behaviour.runMilliseconds;
    if (finishes <= Math.min(this.now(), task.leaseEnds)) {
      task.ended = task.behaviour.fails ? TaskState.Failed : TaskState.Finished;
    } else if (task.leaseEnds <= this.now()) {
      task.ended = TaskState.Lapsed;
    }
    return task;
  }

  private describe(id: string): TaskReport {
    const task = this.updatedTask(id);
    if (!task) {
      return {
        id,
        vm: '',
        state: TaskState.NeverStarted,
        usage: NO_USAGE,
        usageAgeMilliseconds: 0,
      };
    }
    const isUsageMeasured =
      this.now() - task.startedAt >= this.usageLagMilliseconds;
    return {
      id,
      vm: task.request.vm,
      state: task.ended ?? TaskState.Running,
      usage: isUsageMeasured ? task.behaviour.usage : task.request.size,
      usageAgeMilliseconds: this.usageLagMilliseconds,
    };
  }

  private respond(id: string): TaskReport {
    const isUnknown = !this.tasks.has(id) && !this.neverStartedIds.has(id);
    if (isUnknown) throw new Error(`no task ${id}`);
    if (this.faults.has(LeaseFault.LostResponses))
      throw new Error('the response was lost');
    return this.describe(id);
  }

  private throwDuringOutage(): void {
    if (this.faults.has(LeaseFault.Outage))
      throw new Error('the platform is unavailable');
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
