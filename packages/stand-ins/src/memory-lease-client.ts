import type {Clock} from '@gentiandoor/kernel';
import {
  TaskState,
  type LeaseClient,
  type TaskReport,
  type TaskRequest,
  type TaskSize,
} from '@gentiandoor/shared-state';

/** Faults of the platform's leases, switched on by name. */
export enum LeaseFault {
  /** Every call is refused. */
  Outage = 'outage',
  /** Calls take effect, their answers are lost. */
  LostResponses = 'lost_answers',
}

/** What a task does once it runs. */
export interface TaskBehaviour {
  readonly runMilliseconds: number;
  readonly fails: boolean;
  /** What it really uses, whatever was declared. */
  readonly usage: TaskSize;
}

interface Task {
  readonly request: TaskRequest;
  readonly behaviour: TaskBehaviour;
  readonly startedAt: number;
  leaseEnds: number;
  /** Set once the task has ended, for whatever reason. */
  ended: TaskState | undefined;
  share: number;
  checkpointed: boolean;
}

const NOTHING: TaskSize = {processors: 0, memoryGigabytes: 0, accelerators: 0};

/** The platform's task leases in memory: ids are kept, usage lags, leases lapse. */
export class MemoryLeaseClient implements LeaseClient {
  readonly faults = new Set<LeaseFault>();
  /** Age of the usage in reports. */
  usageLagMilliseconds = 30_000;
  /** Real starts by task id: more than one is a second run. */
  readonly startCounts = new Map<string, number>();
  private readonly tasks = new Map<string, Task>();
  private readonly barred = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly behaviourOf: (request: TaskRequest) => TaskBehaviour,
  ) {}

  async start(request: TaskRequest): Promise<TaskReport> {
    this.refuseWhenOut();
    const {id} = request;
    if (!this.barred.has(id) && !this.tasks.has(id)) this.run(request);
    return this.answer(id);
  }

  async renew(id: string, leaseMilliseconds: number): Promise<TaskReport> {
    this.refuseWhenOut();
    const task = this.settled(id);
    if (task && !task.ended) task.leaseEnds = this.now() + leaseMilliseconds;
    return this.answer(id);
  }

  async stop(id: string): Promise<TaskReport> {
    this.refuseWhenOut();
    const task = this.settled(id);
    if (!task) this.barred.add(id);
    else task.ended ??= TaskState.Stopped;
    return this.answer(id);
  }

  async checkpoint(id: string): Promise<TaskReport> {
    this.refuseWhenOut();
    const task = this.settled(id);
    if (task) task.checkpointed = true;
    return this.answer(id);
  }

  async throttle(id: string, share: number): Promise<TaskReport> {
    this.refuseWhenOut();
    const task = this.settled(id);
    if (task) task.share = share;
    return this.answer(id);
  }

  async report(): Promise<readonly TaskReport[]> {
    this.refuseWhenOut();
    const ids = [...this.tasks.keys(), ...this.barred];
    return ids.map(id => this.describe(id));
  }

  /** Whether a checkpoint of the task was written. */
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

  /** The task, with what has happened to it by now. */
  private settled(id: string): Task | undefined {
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
    const task = this.settled(id);
    if (!task) {
      return {
        id,
        vm: '',
        state: TaskState.NeverStarted,
        usage: NOTHING,
        usageAgeMilliseconds: 0,
      };
    }
    const isSeen = this.now() - task.startedAt >= this.usageLagMilliseconds;
    return {
      id,
      vm: task.request.vm,
      state: task.ended ?? TaskState.Running,
      usage: isSeen ? task.behaviour.usage : task.request.size,
      usageAgeMilliseconds: this.usageLagMilliseconds,
    };
  }

  private answer(id: string): TaskReport {
    const isUnknown = !this.tasks.has(id) && !this.barred.has(id);
    if (isUnknown) throw new Error(`no task ${id}`);
    if (this.faults.has(LeaseFault.LostResponses))
      throw new Error('the answer was lost');
    return this.describe(id);
  }

  private refuseWhenOut(): void {
    if (this.faults.has(LeaseFault.Outage))
      throw new Error('the platform is out');
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
