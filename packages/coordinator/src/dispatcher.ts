import {groupBy, type Clock, type Timer} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  sum,
  type PoolClaims,
  type RoomAmount,
  type ShareOrder,
} from '@gentiandoor/organisations';
import {
  ServiceTurns,
  largestRoom,
  orderWaiting,
  placementGap,
  type PoolRoom,
  type WorkerChoice,
} from '@gentiandoor/scheduling';
import {
  RunStatus,
  newLiveRun,
  stepName,
  taskName,
  type LiveRun,
} from './live-run.js';
import type {Queue} from './operator-records.js';
import {PlacementRound, type PlacementWish} from './placement-round.js';
import type {ServiceDemand} from './service-demand.js';
import {LoadCount, NO_LOAD, type ServiceLoad} from './service-load.js';
import {BAR_MILLISECONDS, TaskFailures} from './task-failures.js';
import {groupsOf} from './task-groups.js';
import {WaitingJobs, type Candidate} from './waiting-jobs.js';
import type {WorkerSession} from './worker-session.js';

/** What a dispatcher needs of the coordinator. */
export interface DispatchHost {
  sessionsOf(service: string): readonly WorkerSession[];
  queueOf(execution: JobExecution): Queue | undefined;
  /** Whether `count` orders may be begun together; more would wait behind each other at this daemon. */
  mayOrder(count: number): boolean;
  /** Whether the limit of the job's organisation lets these tasks start together. */
  mayStart(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean;
  /** Claims of organisations on the pool of a service, of those that wait at least. */
  claimsOn(
    service: string,
    waiting: ReadonlySet<string>,
    pool: RoomAmount,
  ): PoolClaims;
  /** Stores the run, then orders it. */
  launch(session: WorkerSession, run: LiveRun): void;
}

/** Placement of a round ends after so many steps found no room. */
const MISSES_BEFORE_GIVING_UP = 12;
/** Longest timer for a step that is due later, since wall clocks may jump. */
const LONGEST_SLEEP_MILLISECONDS = 1_000;
const ISOLATION_RETRY_MILLISECONDS = 200;

/** Places the ready tasks of all jobs on workers. */
export class Dispatcher {
  private readonly jobs: WaitingJobs;
  private readonly failures: TaskFailures;
  private readonly loads = new Map<string, ServiceLoad>();
  private readonly due = new Set<string>();
  /** Services with work that has room and waits until fewer orders are under way. */
  private readonly held = new Set<string>();
  private readonly turns = new ServiceTurns();
  /** Millicores of VMs that are on their way into the pool of a service. */
  private readonly arriving = new Map<string, number>();
  /** One timer for each service with a job that is due later. */
  private readonly sleeps = new Map<string, Timer>();
  /** Services with a task that waits to be kept apart. */
  private readonly retries = new Set<string>();
  private scheduled = false;
  private placedAt = -Infinity;
  private restMilliseconds = 0;
  private closed = false;

  constructor(
    private readonly host: DispatchHost,
    private readonly choice: WorkerChoice,
    private readonly shares: ShareOrder,
    private readonly demand: ServiceDemand,
    private readonly clock: Clock,
  ) {
    this.failures = new TaskFailures(clock);
    this.jobs = new WaitingJobs(
      execution => host.queueOf(execution),
      demand,
      clock,
    );
  }

  /** Adds a job that is `ageMilliseconds` old. */
  add(execution: JobExecution, ageMilliseconds: number): void {
    this.noteDemand(execution, ageMilliseconds);
    this.wake(this.jobs.add(execution, ageMilliseconds));
  }

  /** Notes that a job was handed in so long ago, whatever became of it: turns are learned from it. */
  noteDemand(execution: JobExecution, ageMilliseconds: number): void {
    const at = this.clock.monotonicMilliseconds() - ageMilliseconds;
    this.demand.note(this.jobs.serviceOf(execution), execution.job, at);
  }

  /** Notes how long a run that ended well took. */
  noteDuration(run: LiveRun, milliseconds: number): void {
    const {specification} = run.taskOfJob;
    if (run.beganAt !== undefined)
      this.demand.noteStartDelay(run.beganAt - run.plannedAt);
    const {longRunning, estimatedMilliseconds} = specification;
    if (longRunning || estimatedMilliseconds <= 0) return;
    const {queue} = run.execution.job;
    this.demand.noteDuration(queue, specification, run.stepKey, milliseconds);
  }

  /** Run time to expect of a task, in milliseconds. */
  expectedTime(execution: JobExecution, task: ExecutableTask): number {
    return this.demand.expectedTime(execution.job.queue, task.specification);
  }

  /** Takes a job out that has come to its end. */
  remove(execution: JobExecution): void {
    this.jobs.remove(execution);
    this.failures.forgetJob(execution.job.id);
  }

  /** Notes that a run of a task failed on a worker, so that the next try goes elsewhere. */
  noteFailure(run: LiveRun, workerId: string): void {
    this.failures.note(run.task, workerId);
    const service = this.jobs.serviceOf(run.execution);
    this.clock.schedule(BAR_MILLISECONDS, () => this.wake(service));
  }

  /** Notes that a worker crashed under a run of a task, so that the next try goes apart. */
  noteCrash(run: LiveRun): void {
    this.failures.noteCrash(run.task);
  }

  /** Whether a task starts apart from other jobs' tasks if it starts now. */
  mustIsolate(execution: JobExecution, task: ExecutableTask): boolean {
    const {total} = task.progress.crashes;
    if (total === 0) return false;
    return this.failures.mustIsolate(taskName(execution.job.id, task), total);
  }

  /** How long a job has been known. */
  ageOf(execution: JobExecution): number {
    return this.jobs.ageOf(execution);
  }

  /** Time from its submission within which a job's caller expects it to be done, as far as its run times are known. */
  objectiveOf(execution: JobExecution): number {
    return this.jobs.objectiveOf(execution);
  }

  /** Notes the room of VMs that are on their way into the pool of `service`. */
  noteArriving(service: string, millicores: number): void {
    this.arriving.set(service, millicores);
  }

  loadOf(service: string): ServiceLoad {
    return this.loads.get(service) ?? NO_LOAD;
  }

  /** Places what waits for `service` in the next turn. */
  wake(service: string): void {
    this.due.add(service);
    if (this.scheduled || this.closed) return;
    this.scheduled = true;
    const rested = this.clock.monotonicMilliseconds() - this.placedAt;
    if (rested >= this.restMilliseconds) setImmediate(() => this.runDue());
    else
      this.clock.schedule(this.restMilliseconds - rested, () => this.runDue());
  }

  /** The fate of an order is known: others may be begun. */
  orderSettled(): void {
    for (const service of this.held) this.wake(service);
    this.held.clear();
  }

  /** After a new configuration queues may have other services. */
  regroup(): void {
    for (const service of this.jobs.regroup()) this.wake(service);
  }

  close(): void {
    this.closed = true;
    for (const timer of this.sleeps.values()) timer.cancel();
  }

  private runDue(): void {
    this.scheduled = false;
    if (this.closed) return;
    const began = this.clock.monotonicMilliseconds();
    const services = this.turns.order(this.due);
    this.due.clear();
    for (const service of services) this.place(service);
    this.placedAt = this.clock.monotonicMilliseconds();
    this.restMilliseconds = placementGap(this.placedAt - began);
  }

  private place(service: string): void {
    const now = this.clock.monotonicMilliseconds();
    const sessions = this.host
      .sessionsOf(service)
      .filter(session => session.takesStarts);
    const {candidates, nextDue} = this.jobs.readyFor(service, now);
    this.sleepUntil(service, nextDue);
    const room = largestRoom(sessions.map(({entry}) => entry.room));
    this.demand.noteRoom(room);
    const round = new PlacementRound(sessions, this.choice, now);
    const count = new LoadCount(room);
    const ordered = orderWaiting(
      candidates,
      this.roomOf(service, sessions),
      now,
    );
    let misses = 0;
    for (const candidate of this.arrange(service, ordered, sessions)) {
      const gaveUp = misses >= MISSES_BEFORE_GIVING_UP;
      misses += this.placeCandidate(
        {service, round, count, now, gaveUp},
        candidate,
      );
    }
    this.loads.set(service, count.load(this.loadOf(service), now));
  }

  /** Each class of what jobs are still worth in the order of shares: by shares alone late jobs would go ahead of ones that can be in time. */
  private *arrange(
    service: string,
    ordered: readonly Candidate[],
    sessions: readonly WorkerSession[],
  ): Iterable<Candidate> {
    const waiting = new Set<string>();
    for (const {organisation, weight} of ordered)
      if (organisation !== undefined && weight > 0) waiting.add(organisation);
    if (waiting.size === 0) {
      yield* ordered;
      return;
    }
    const pool = sum(sessions.map(({entry}) => entry.room));
    const claims = this.host.claimsOn(service, waiting, pool);
    for (const jobs of groupBy(ordered, ({rank}) => rank).values())
      yield* this.shares.arrange(jobs, claims);
  }

  /** Places what of a job has room; returns how many of its steps found none. */
  private placeCandidate(turn: PlacementTurn, candidate: Candidate): number {
    const {service, round, count, now, gaveUp} = turn;
    const {execution, weight} = candidate;
    const full = new Set<string>();
    for (const tasks of groupsOf(candidate.ready)) {
      if (!this.mayOrder(tasks)) {
        this.held.add(service);
        continue;
      }
      // More VMs would not help: what waits for a limit asks for none.
      if (!this.host.mayStart(execution, tasks, service)) continue;
      const key = stepName(execution.job.id, tasks[0]);
      const placed =
        !gaveUp &&
        !full.has(key) &&
        this.placeTogether(round, candidate, tasks, now);
      if (placed) continue;
      this.retryIsolated(service, candidate, tasks);
      full.add(key);
      count.note(execution, tasks, weight);
    }
    return full.size;
  }

  /** What a task that is kept apart waits for passes with time, and no event tells of it. */
  private retryIsolated(
    service: string,
    {execution}: Candidate,
    tasks: readonly ExecutableTask[],
  ): void {
    const waits = tasks.some(task => this.mustIsolate(execution, task));
    if (!waits || this.retries.has(service)) return;
    this.retries.add(service);
    this.clock.schedule(ISOLATION_RETRY_MILLISECONDS, () => {
      this.retries.delete(service);
      this.wake(service);
    });
  }

  /** Tasks that last are few, and missed at once: they don't wait behind a turn's orders. */
  private mayOrder(tasks: readonly ExecutableTask[]): boolean {
    const {longRunning} = tasks[0].specification;
    return longRunning || this.host.mayOrder(tasks.length);
  }

  private roomOf(
    service: string,
    sessions: readonly WorkerSession[],
  ): PoolRoom {
    return {
      usableMillicores: sessions.reduce(
        (sum, {entry}) => sum + entry.room.processorMillicores,
        0,
      ),
      arrivingMillicores: this.arriving.get(service) ?? 0,
    };
  }

  /** Replaces the service's timer: with one for each round and job, busy rounds would lead to as many later ones for good. */
  private sleepUntil(service: string, dueAt: number): void {
    this.sleeps.get(service)?.cancel();
    this.sleeps.delete(service);
    if (dueAt === Infinity) return;
    const left = dueAt - this.clock.wallMilliseconds();
    const wait = Math.min(left, LONGEST_SLEEP_MILLISECONDS);
    const timer = this.clock.schedule(wait, () => this.wake(service));
    this.sleeps.set(service, timer);
  }

  private wishOf(
    execution: JobExecution,
    task: ExecutableTask,
    now: number,
  ): PlacementWish {
    const name = taskName(execution.job.id, task);
    return {
      stepKey: stepName(execution.job.id, task),
      step: task.specification,
      job: execution.job.id,
      avoid: this.failures.avoidanceOf(name, now),
      isIsolated: this.mustIsolate(execution, task),
    };
  }

  /** Places all of `tasks` or none. */
  private placeTogether(
    round: PlacementRound,
    {execution, weight}: Candidate,
    tasks: readonly ExecutableTask[],
    now: number,
  ): boolean {
    const chosen: Array<{session: WorkerSession; isIsolated: boolean}> = [];
    for (const task of tasks) {
      const wish = this.wishOf(execution, task, now);
      const session = round.take(wish);
      if (!session) {
        round.giveBack();
        return false;
      }
      chosen.push({session, isIsolated: wish.isIsolated});
    }
    round.keep();
    this.turns.noteTurn(this.jobs.serviceOf(execution));
    const together = tasks[0].specification.gang
      ? 1 + Math.max(...tasks.map(task => task.progress.run))
      : undefined;
    tasks.forEach((task, index) => {
      const {session, isIsolated} = chosen[index];
      const planned = newLiveRun(execution, task, {
        run: execution.beginRun(task, session.id, together),
        plannedAt: now,
        weight,
        expectedMilliseconds: this.expectedTime(execution, task),
        isWatched: this.failures.isWatched(taskName(execution.job.id, task)),
        isIsolated,
        status: RunStatus.Planned,
        settledAt: Infinity,
      });
      this.host.launch(session, planned);
    });
    return true;
  }
}

/** One round of placement for a service. */
interface PlacementTurn {
  readonly service: string;
  readonly round: PlacementRound;
  /** Adds up what finds no room. */
  readonly count: LoadCount;
  readonly now: number;
  /** Too many steps have found no room: the rest only counts as waiting. */
  readonly gaveUp: boolean;
}
