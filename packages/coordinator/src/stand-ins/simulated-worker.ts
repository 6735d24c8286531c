import {
  OrderOutcome,
  OrderRefusal,
  WorkerState,
  incarnationId,
  type EndedRun,
  type ListedRun,
  type PollRequest,
  type PollResult,
  type OrderResult,
  type Resources,
  type RunName,
  type StartRequest,
  type WorkerEntry,
} from '../index.js';
import {RunEnd} from '@gentiandoor/jobs';
import type {Clock, Timer} from '@gentiandoor/kernel';
import {sumResources} from '@gentiandoor/organisations';

/** How a task behaves on any worker. */
export interface TaskBehaviour {
  /** Undefined for a long-running task. */
  readonly durationMilliseconds: number | undefined;
  readonly end: RunEnd;
  readonly resources: Resources;
  /** Percentage at which the task stalls; it never ends by itself. */
  readonly stallsAtPercent?: number;
  /** Time after its start at which the task crashes its worker. */
  readonly crashesAfterMilliseconds?: number;
  /** Interval at which the task saves its progress; it continues from there. */
  readonly checkpointMilliseconds?: number;
  /** Least length of what it saves. */
  readonly checkpointBytes?: number;
}

/** Returns the behaviour of a task, by name, on a worker. */
export type BehaviourOf = (task: string, worker: string) => TaskBehaviour;

/** A run that a worker began, recorded for the checks of a test. */
export interface StartedRun extends RunName {
  /** What it was told to continue from; empty for nothing. */
  readonly checkpoint: string;
  readonly worker: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  end: RunEnd | undefined;
  /** When its end was acknowledged. */
  acknowledgedAt: number | undefined;
}

const MAXIMUM_LEASE_MILLISECONDS = 10_000;
const STOP_MILLISECONDS = 200;

interface AliveRun extends RunName {
  readonly record: StartedRun;
  readonly resources: Resources;
  readonly behaviour: TaskBehaviour;
  /** Work that an earlier run had saved. */
  readonly restoredMilliseconds: number;
  stopping: boolean;
  timer: Timer | undefined;
}

/**
 * Simulates one incarnation of a worker, which runs tasks under a lease and enforces its
 * capacity.
 */
export class SimulatedWorker {
  readonly startedRuns: StartedRun[] = [];
  state = WorkerState.Ready;
  /** Number of runs that it was ordered to stop. */
  stopsAsked = 0;
  /** Whether it refuses tasks that exceed its capacity. */
  enforcesCapacity = true;
  /** Times at which a start exceeded its capacity. */
  readonly startsOverCapacity: number[] = [];
  /** Called when a task crashes the worker. */
  onTaskCrash: () => void = () => this.crash();
  /** How long a stop takes. */
  stopMilliseconds = STOP_MILLISECONDS;
  private readonly alive = new Map<string, AliveRun>();
  private readonly lastRun = new Map<string, number>();
  private readonly waiting = new Set<() => void>();
  /** Times at which leases expired. */
  readonly lapses: number[] = [];
  private ended: EndedRun[] = [];
  private endNumber = 0;
  private token = 0;
  private leaseEnd = 0;
  private leaseTimer: Timer | undefined;
  private dead = false;

  constructor(
    readonly id: string,
    readonly service: string,
    public capacity: Resources,
    private readonly clock: Clock,
    private readonly behaviourOf: BehaviourOf,
    /** How far the worker's clock is ahead of ours. */
    private readonly clockOffset = 1_000_000,
    /** Undefined if the worker does not report when it started. */
    readonly startedAtMilliseconds?: number,
  ) {}

  /** Identifies this incarnation. */
  get incarnation(): string {
    return incarnationId(this.id, this.startedAtMilliseconds);
  }

  /** Runs alive now. */
  get running(): readonly RunName[] {
    return [...this.alive.values()];
  }

  /** Resources that the runs alive now take. */
  get used(): Resources {
    return sumResources([...this.alive.values()].map(run => run.resources));
  }

  /** Number of ends that are not acknowledged. */
  get unacknowledged(): number {
    return this.ended.length;
  }

  get highestToken(): number {
    return this.token;
  }

  entry(labels: readonly string[] = ['rack-1']): WorkerEntry {
    return {
      id: this.incarnation,
      instance: this.id,
      service: this.service,
      address: this.id,
      dataCentre: 'one',
      state: this.state,
      capacity: this.capacity,
      labels,
    };
  }

  /** Ends this incarnation: all its runs are over and nobody is notified. */
  crash(): void {
    this.dead = true;
    this.leaseTimer?.cancel();
    for (const run of [...this.alive.values()])
      this.finish(run, RunEnd.Crashed);
    this.ended = [];
  }

  get isDead(): boolean {
    return this.dead;
  }

  async poll(request: PollRequest): Promise<PollResult> {
    if (!this.acceptToken(request.fencingToken)) return refused('fence');
    this.acknowledge(request.acknowledgedEnd);
    if (request.leaseEndMilliseconds !== undefined)
      this.extendLease(request.leaseEndMilliseconds);
    if (request.waitMilliseconds > 0 && this.ended.length === 0)
      await this.nextEnd(request.waitMilliseconds);
    return {
      outcome: OrderOutcome.Done,
      clockMilliseconds: this.workerClock(),
      running: [...this.alive.values()].map(run => this.listed(run)),
      ended: [...this.ended],
    };
  }

  start(request: StartRequest): OrderResult {
    // A late order gets no response if the incarnation it was meant for is over.
    if (this.dead)
      return {outcome: OrderOutcome.Unknown, reason: 'no such incarnation'};
    if (!this.acceptToken(request.fencingToken)) return refused('fence');
    if (this.workerClock() >= request.leaseEndMilliseconds)
      return refused('late');
    const before = this.lastRun.get(request.task) ?? 0;
    const here = this.alive.get(request.task);
    if (here?.run === request.run) {
      this.extendLease(request.leaseEndMilliseconds);
      return this.done();
    }
    if (request.run <= before || here) return refused('old');
    const behaviour = this.behaviourOf(request.task, this.id);
    if (!this.hasCapacityFor(behaviour.resources)) {
      if (this.enforcesCapacity) return refused('room');
      this.startsOverCapacity.push(this.clock.monotonicMilliseconds());
    }
    this.extendLease(request.leaseEndMilliseconds);
    this.begin(request, behaviour);
    return this.done();
  }

  stop(run: RunName, fencingToken: number): OrderResult {
    if (!this.acceptToken(fencingToken)) return refused('fence');
    const alive = this.alive.get(run.task);
    this.noteLatestRun(run);
    if (alive && alive.run === run.run && !alive.stopping) {
      alive.stopping = true;
      this.stopsAsked++;
      alive.timer?.cancel();
      this.clock.schedule(this.stopMilliseconds, () =>
        this.finish(alive, RunEnd.Stopped),
      );
    }
    return this.done();
  }

  throttle(_run: RunName, _percent: number, fencingToken: number): OrderResult {
    return this.acceptToken(fencingToken) ? this.done() : refused('fence');
  }

  private begin(request: StartRequest, behaviour: TaskBehaviour): void {
    const record: StartedRun = {
      task: request.task,
      run: request.run,
      checkpoint: request.checkpoint,
      worker: this.id,
      startedAt: this.clock.monotonicMilliseconds(),
      endedAt: undefined,
      end: undefined,
      acknowledgedAt: undefined,
    };
    this.startedRuns.push(record);
    this.noteLatestRun(request);
    const run: AliveRun = {
      task: request.task,
      run: request.run,
      record,
      resources: behaviour.resources,
      behaviour,
      restoredMilliseconds: Number(request.checkpoint),
      stopping: false,
      timer: undefined,
    };
    this.alive.set(request.task, run);
    if (behaviour.crashesAfterMilliseconds !== undefined)
      run.timer = this.clock.schedule(behaviour.crashesAfterMilliseconds, () =>
        this.onTaskCrash(),
      );
    const stalls =
      behaviour.stallsAtPercent !== undefined ||
      behaviour.crashesAfterMilliseconds !== undefined;
    if (behaviour.durationMilliseconds !== undefined && !stalls)
      run.timer = this.clock.schedule(
        behaviour.durationMilliseconds - run.restoredMilliseconds,
        () => this.finish(run, behaviour.end),
      );
  }

  private finish(run: AliveRun, end: RunEnd): void {
    if (this.alive.get(run.task) !== run) return;
    const checkpoint = this.checkpointOf(run);
    this.alive.delete(run.task);
    run.timer?.cancel();
    run.record.endedAt = this.clock.monotonicMilliseconds();
    run.record.end = end;
    this.ended.push({
      number: ++this.endNumber,
      task: run.task,
      run: run.run,
      end,
      checkpoint,
    });
    for (const wake of [...this.waiting]) wake();
  }

  private noteLatestRun(run: RunName): void {
    const before = this.lastRun.get(run.task) ?? 0;
    this.lastRun.set(run.task, Math.max(before, run.run));
  }

  private hasCapacityFor(required: Resources): boolean {
    const {processorMillicores} = this.used;
    return (
      processorMillicores + required.processorMillicores <=
      this.capacity.processorMillicores
    );
  }

  private extendLease(leaseEnd: number): void {
    const longest = this.workerClock() + MAXIMUM_LEASE_MILLISECONDS;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, longest));
    this.leaseTimer?.cancel();
    this.leaseTimer = this.clock.schedule(
      Math.max(0, this.leaseEnd - this.workerClock()),
      () => this.expireLease(),
    );
  }

  private acknowledge(endsStored: number): void {
    const now = this.clock.monotonicMilliseconds();
    for (const end of this.ended) {
      if (end.number > endsStored) continue;
      const record = this.startedRuns.find(
        run => run.task === end.task && run.run === end.run,
      );
      if (record) record.acknowledgedAt ??= now;
    }
    this.ended = this.ended.filter(end => end.number > endsStored);
  }

  private expireLease(): void {
    this.lapses.push(this.clock.monotonicMilliseconds());
    for (const run of [...this.alive.values()]) this.finish(run, RunEnd.Lapsed);
  }

  private acceptToken(token: number): boolean {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  private listed(run: AliveRun): ListedRun {
    return {
      task: run.task,
      run: run.run,
      checkpoint: this.checkpointOf(run),
      percent: this.percentOf(run),
      load: 0,
    };
  }

  private percentOf(run: AliveRun): number {
    const {durationMilliseconds, stallsAtPercent = 100} = run.behaviour;
    if (durationMilliseconds === undefined) return 100;
    const percent = Math.floor((100 * this.workOf(run)) / durationMilliseconds);
    return Math.min(percent, stallsAtPercent);
  }

  /** Returns the milliseconds of work that the task has done in all its runs. */
  private workOf({record, restoredMilliseconds}: AliveRun): number {
    const age = this.clock.monotonicMilliseconds() - record.startedAt;
    return age + restoredMilliseconds;
  }

  /** Returns the saved milliseconds of work; empty for a task that does not save any. */
  private checkpointOf(run: AliveRun): string {
    const {checkpointMilliseconds, checkpointBytes = 0} = run.behaviour;
    if (checkpointMilliseconds === undefined) return '';
    const intervals = Math.floor(this.workOf(run) / checkpointMilliseconds);
    const saved = String(intervals * checkpointMilliseconds);
    return saved.padStart(checkpointBytes, '0');
  }

  private done(): OrderResult {
    return {
      outcome: OrderOutcome.Done,
      clockMilliseconds: this.workerClock(),
    };
  }

  private workerClock(): number {
    return this.clock.monotonicMilliseconds() + this.clockOffset;
  }

  private nextEnd(waitMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake);
        timer.cancel();
        resolve();
      };
      const timer = this.clock.schedule(waitMilliseconds, wake);
      this.waiting.add(wake);
    });
  }
}

const REFUSALS = {
  fence: OrderRefusal.Fenced,
  late: OrderRefusal.LeaseExpired,
  old: OrderRefusal.StaleRun,
  room: OrderRefusal.InsufficientCapacity,
};

function refused(reason: keyof typeof REFUSALS): {
  readonly outcome: OrderOutcome.Refused;
  readonly refusal: OrderRefusal;
} {
  return {outcome: OrderOutcome.Refused, refusal: REFUSALS[reason]};
}
