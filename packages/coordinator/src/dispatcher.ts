import {groupBy, type Clock, type Timer} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  sumResources,
  type PoolShares,
  type Resources,
  type SharePolicy,
} from '@gentiandoor/organisations';
import {
  LeastRecentlyServedOrder,
  largestCapacity,
  orderWaiting,
  placementDelayMilliseconds,
  type PoolMillicores,
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
import {PlacementRound, type TaskPlacementRequest} from './placement-round.js';
import type {ServiceDemand} from './service-demand.js';
import {WaitingLoadCounter, NO_LOAD, type ServiceLoad} from './service-load.js';
import {AVOIDANCE_MILLISECONDS, TaskFailures} from './task-failures.js';
import {groupsOf} from './task-groups.js';
import {WaitingJobs, type PlacementCandidate} from './waiting-jobs.js';
import type {WorkerSession} from './worker-session.js';

/** What a dispatcher needs of the coordinator. */
export interface DispatchHost {
  sessionsOf(service: string): readonly WorkerSession[];
  queueOf(execution: JobExecution): Queue | undefined;
  /** Whether `count` orders may be begun together; more would wait behind each other at this daemon. */
  mayOrder(count: number): boolean;
  /** Whether the limit of the job's organisation lets these tasks start together. */
  organisationLimitAllows(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean;
  /** Claims of organisations on the pool of a service, of those that wait at least. */
  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares;
  /** Stores the run, then orders it. */
  launch(session: WorkerSession, run: LiveRun): void;
}

/** Placement of a round ends after so many steps found no room. */
const MISSES_BEFORE_GIVING_UP = 12;
/** Longest timer for a step that is due later, since wall clocks may jump. */
const MAXIMUM_DUE_TIMER_MILLISECONDS = 1_000;
const ISOLATION_RETRY_MILLISECONDS = 200;

/** Places the ready tasks of all jobs on workers. */
export class Dispatcher {
  private readonly jobs: WaitingJobs;
  private readonly failures: TaskFailures;
  private readonly loads = new Map<string, ServiceLoad>();
  private readonly servicesDue = new Set<string>();
  /** Services with work that has room and waits until fewer orders are under way. */
  private readonly servicesAwaitingOrders = new Set<string>();
  private readonly turns = new LeastRecentlyServedOrder();
  /** Millicores of VMs that are on their way into the pool of a service. */
  private readonly arriving = new Map<string, number>();
  /** One timer for each service with a job that is due later. */
  private readonly dueTimers = new Map<string, Timer>();
  /** Services with a task that waits to be kept apart. */
  private readonly isolationRetries = new Set<string>();
  private scheduled = false;
  private placedAt = -Infinity;
  private placementDelayMilliseconds = 0;
  private closed = false;

  constructor(
    private readonly host: DispatchHost,
    private readonly choice: WorkerChoice,
    private readonly shares: SharePolicy,
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
    this.schedulePlacement(this.jobs.add(execution, ageMilliseconds));
  }

  /** Notes that a job was handed in so long ago, whatever became of it: turns are learned from it. */
  noteDemand(execution: JobExecution, ageMilliseconds: number): void {
    const at = this.clock.monotonicMilliseconds() - ageMilliseconds;
    this.demand.note(this.jobs.serviceOf(execution), execution.job, at);
  }

  /** Notes how long a run that ended well took. */
  noteDuration(run: LiveRun, milliseconds: number): void {
    const {specification} = run.executableTask;
    if (run.startConfirmedAt !== undefined)
      this.demand.noteStartDelay(run.startConfirmedAt - run.plannedAt);
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
    this.clock.schedule(AVOIDANCE_MILLISECONDS, () =>
      this.schedulePlacement(service),
    );
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
  schedulePlacement(service: string): void {
    this.servicesDue.add(service);
    if (this.scheduled || this.closed) return;
    this.scheduled = true;
    const rested = this.clock.monotonicMilliseconds() - this.placedAt;
    if (rested >= this.placementDelayMilliseconds)
      setImmediate(() => this.placeDueServices());
    else
      this.clock.schedule(this.placementDelayMilliseconds - rested, () =>
        this.placeDueServices(),
      );
  }

  /** The fate of an order is known: others may be begun. */
  orderSettled(): void {
    for (const service of this.servicesAwaitingOrders)
      this.schedulePlacement(service);
    this.servicesAwaitingOrders.clear();
  }

  /** After a new configuration queues may have other services. */
  regroup(): void {
    for (const service of this.jobs.regroup()) this.schedulePlacement(service);
  }

  close(): void {
    this.closed = true;
    for (const timer of this.dueTimers.values()) timer.cancel();
  }

  private placeDueServices(): void {
    this.scheduled = false;
    if (this.closed) return;
    const began = this.clock.monotonicMilliseconds();
    const services = this.turns.order(this.servicesDue);
    this.servicesDue.clear();
    for (const service of services) this.placeService(service);
    this.placedAt = this.clock.monotonicMilliseconds();
    this.placementDelayMilliseconds = placementDelayMilliseconds(
      this.placedAt - began,
    );
  }

  private placeService(service: string): void {
    const now = this.clock.monotonicMilliseconds();
    const sessions = this.host
      .sessionsOf(service)
      .filter(session => session.acceptsStarts);
    const {candidates, nextDue} = this.jobs.readyFor(service, now);
    this.scheduleAtDueTime(service, nextDue);
    const room = largestCapacity(sessions.map(({entry}) => entry.capacity));
    this.demand.noteVmCapacity(room);
    const round = new PlacementRound(sessions, this.choice, now);
    const count = new WaitingLoadCounter(room);
    const ordered = orderWaiting(
      candidates,
      this.poolCapacityOf(service, sessions),
      now,
    );
    let misses = 0;
    for (const candidate of this.orderByShares(service, ordered, sessions)) {
      const gaveUp = misses >= MISSES_BEFORE_GIVING_UP;
      misses += this.placeCandidate(
        {service, round, count, now, gaveUp},
        candidate,
      );
    }
    this.loads.set(service, count.load(this.loadOf(service), now));
  }

  /** Each class of what jobs are still worth in the order of shares: by shares alone late jobs would go ahead of ones that can be in time. */
  private *orderByShares(
    service: string,
    ordered: readonly PlacementCandidate[],
    sessions: readonly WorkerSession[],
  ): Iterable<PlacementCandidate> {
    const waiting = new Set<string>();
    for (const {organisation, weight} of ordered)
      if (organisation !== undefined && weight > 0) waiting.add(organisation);
    if (waiting.size === 0) {
      yield* ordered;
      return;
    }
    const pool = sumResources(sessions.map(({entry}) => entry.capacity));
    const claims = this.host.poolShares(service, waiting, pool);
    for (const jobs of groupBy(ordered, ({rank}) => rank).values())
      yield* this.shares.order(jobs, claims);
  }

  /** Places what of a job has room; returns how many of its steps found none. */
  private placeCandidate(
    turn: ServicePlacement,
    candidate: PlacementCandidate,
  ): number {
    const {service, round, count, now, gaveUp} = turn;
    const {execution, weight} = candidate;
    const full = new Set<string>();
    for (const tasks of groupsOf(candidate.ready)) {
      if (!this.mayOrder(tasks)) {
        this.servicesAwaitingOrders.add(service);
        continue;
      }
      // More VMs would not help: what waits for a limit asks for none.
      if (!this.host.organisationLimitAllows(execution, tasks, service))
        continue;
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
    {execution}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
  ): void {
    const waits = tasks.some(task => this.mustIsolate(execution, task));
    if (!waits || this.isolationRetries.has(service)) return;
    this.isolationRetries.add(service);
    this.clock.schedule(ISOLATION_RETRY_MILLISECONDS, () => {
      this.isolationRetries.delete(service);
      this.schedulePlacement(service);
    });
  }

  /** Tasks that last are few, and missed at once: they don't wait behind a turn's orders. */
  private mayOrder(tasks: readonly ExecutableTask[]): boolean {
    const {longRunning} = tasks[0].specification;
    return longRunning || this.host.mayOrder(tasks.length);
  }

  private poolCapacityOf(
    service: string,
    sessions: readonly WorkerSession[],
  ): PoolMillicores {
    return {
      usableMillicores: sessions.reduce(
        (sum, {entry}) => sum + entry.capacity.processorMillicores,
        0,
      ),
      incomingMillicores: this.arriving.get(service) ?? 0,
    };
  }

  /** Replaces the service's timer: with one for each round and job, busy rounds would lead to as many later ones for good. */
  private scheduleAtDueTime(service: string, dueAt: number): void {
    this.dueTimers.get(service)?.cancel();
    this.dueTimers.delete(service);
    if (dueAt === Infinity) return;
    const left = dueAt - this.clock.wallMilliseconds();
    const wait = Math.min(left, MAXIMUM_DUE_TIMER_MILLISECONDS);
    const timer = this.clock.schedule(wait, () =>
      this.schedulePlacement(service),
    );
    this.dueTimers.set(service, timer);
  }

  private placementRequestOf(
    execution: JobExecution,
    task: ExecutableTask,
    now: number,
  ): TaskPlacementRequest {
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
    {execution, weight}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
    now: number,
  ): boolean {
    const chosen: Array<{session: WorkerSession; isIsolated: boolean}> = [];
    for (const task of tasks) {
      const wish = this.placementRequestOf(execution, task, now);
      const session = round.reserve(wish);
      if (!session) {
        round.rollBack();
        return false;
      }
      chosen.push({session, isIsolated: wish.isIsolated});
    }
    round.commit();
    this.turns.recordServed(this.jobs.serviceOf(execution));
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
        stopsOnStall: this.failures.stopsOnStall(
          taskName(execution.job.id, task),
        ),
        isIsolated,
        status: RunStatus.Planned,
        orderAnsweredAt: Infinity,
      });
      this.host.launch(session, planned);
    });
    return true;
  }
}

/** One round of placement for a service. */
interface ServicePlacement {
  readonly service: string;
  readonly round: PlacementRound;
  /** Adds up what finds no room. */
  readonly count: WaitingLoadCounter;
  readonly now: number;
  /** Too many steps have found no room: the rest only counts as waiting. */
  readonly gaveUp: boolean;
}
