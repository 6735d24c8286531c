import type {Clock, Timer} from '@gentiandoor/kernel';
import type {
  ExecutableTask,
  ExpectedTime,
  JobExecution,
} from '@gentiandoor/jobs';
import {
  type Avoidance,
  Chance,
  RescueBudget,
  ServiceTurns,
  chanceOf,
  occupiedMillicores,
  orderWaiting,
  placementGap,
  rankOf,
  vmsForSpread,
  type PoolRoom,
  type SpreadStep,
  type WaitingWork,
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
import {PlacementRound} from './placement-round.js';
import type {ServiceDemand} from './service-demand.js';
import {groupsOf} from './task-groups.js';
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
  /** Stores the run, then orders it. */
  launch(session: WorkerSession, run: LiveRun): void;
}

/** Callers still count an answer as late until so many times the objective. */
const LATE_FACTOR = 3;
/** A task is stopped for standing still at most on so many workers: a third one at fault is unlikely, a task of which a percent takes seconds is not. */
const MOST_STALLS = 2;
/** Steps that find no room in one round before the rest is left for the next: a pool that is full stays full. */
const MISSES_BEFORE_GIVING_UP = 12;
/** Worth of VMs that go on with a job: a late answer is worth little to its caller, one that nobody waits for nothing. */
const WEIGHTS: Readonly<Record<Chance, number>> = {
  [Chance.InTime]: 1,
  [Chance.LastCall]: 0.3,
  [Chance.Late]: 0.3,
  [Chance.Lost]: 0,
};
/** The wall clock of a step due later is looked at again this often at least. */
const LONGEST_SLEEP_MILLISECONDS = 1_000;

/** A task waits so long for a worker on which it has not failed; the others may be full of tasks that last. */
const BAR_MILLISECONDS = 1_000;

/** Workers on which runs of a task have failed, and when the last one did. */
interface TaskFailures {
  readonly workers: ReadonlySet<string>;
  readonly newestAt: number;
}

/** A job that waits for room. */
interface Candidate extends WaitingWork {
  readonly execution: JobExecution;
  readonly ready: readonly ExecutableTask[];
  /** What VMs that run it are worth, in [0, 1]. */
  readonly weight: number;
}

/** Waiting and running work of a service, for the size of its pool. */
export interface ServiceLoad {
  /** Millicores that waiting tasks ask for, weighed by what they are still worth. */
  readonly waitingMillicores: number;
  readonly waitingTasks: number;
  /** VMs that waiting tasks need since they may not share them. */
  readonly spreadVms: number;
  /** Since when tasks have waited without a break; undefined while none does. */
  readonly waitingSince: number | undefined;
}

const NO_LOAD: ServiceLoad = {
  waitingMillicores: 0,
  waitingTasks: 0,
  spreadVms: 0,
  waitingSince: undefined,
};

/** Places the ready tasks of all jobs on workers. */
export class Dispatcher {
  private readonly active = new Map<string, Set<JobExecution>>();
  private readonly firstSeen = new Map<JobExecution, number>();
  private readonly failures = new Map<string, TaskFailures>();
  private readonly loads = new Map<string, ServiceLoad>();
  private readonly rescues = new RescueBudget();
  private readonly due = new Set<string>();
  /** Services with work that has room and waits until fewer orders are under way. */
  private readonly held = new Set<string>();
  private readonly turns = new ServiceTurns();
  /** Millicores of VMs that are on their way into the pool of a service. */
  private readonly arriving = new Map<string, number>();
  /** One timer for each service with a job that is due later. */
  private readonly sleeps = new Map<string, Timer>();
  private scheduled = false;
  private placedAt = -Infinity;
  private restMilliseconds = 0;
  private closed = false;

  constructor(
    private readonly host: DispatchHost,
    private readonly choice: WorkerChoice,
    private readonly demand: ServiceDemand,
    private readonly clock: Clock,
  ) {}

  /** Adds a job that is `ageMilliseconds` old. */
  add(execution: JobExecution, ageMilliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    this.firstSeen.set(execution, now - ageMilliseconds);
    this.noteDemand(execution, ageMilliseconds);
    this.enrol(execution);
  }

  /** Notes that a job was handed in so long ago, whatever became of it: turns are learned from it. */
  noteDemand(execution: JobExecution, ageMilliseconds: number): void {
    const at = this.clock.monotonicMilliseconds() - ageMilliseconds;
    this.demand.note(this.serviceOf(execution), execution.job, at);
  }

  /** Notes how long a run that ended well took. */
  noteDuration(run: LiveRun, milliseconds: number): void {
    const {specification} = run.taskOfJob;
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
    for (const jobs of this.active.values()) jobs.delete(execution);
    this.firstSeen.delete(execution);
    this.rescues.noteServed();
    this.rescues.forget(execution.job.id);
    const prefix = `${execution.job.id}.`;
    for (const name of this.failures.keys())
      if (name.startsWith(prefix)) this.failures.delete(name);
  }

  /** Notes that a run of a task failed on a worker, so that the next try goes elsewhere. */
  noteFailure(run: LiveRun, workerId: string): void {
    const before = this.failures.get(run.task)?.workers ?? NOWHERE;
    this.failures.set(run.task, {
      workers: new Set([...before, workerId]),
      newestAt: this.clock.monotonicMilliseconds(),
    });
    const service = this.serviceOf(run.execution);
    this.clock.schedule(BAR_MILLISECONDS, () => this.wake(service));
  }

  /** How long a job has been known. */
  ageOf(execution: JobExecution): number {
    const now = this.clock.monotonicMilliseconds();
    return now - (this.firstSeen.get(execution) ?? now);
  }

  /** Time from its submission within which a job's caller expects it to be done, as far as its run times are known. */
  objectiveOf(execution: JobExecution): number {
    const queue = this.host.queueOf(execution);
    const chain = execution.wholeChain(this.stepTimes(execution));
    return (queue?.stretch ?? 1) * chain + (queue?.latencyMilliseconds ?? 0);
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
    const all = [...this.active.values()].flatMap(jobs => [...jobs]);
    this.active.clear();
    for (const execution of all) this.enrol(execution);
  }

  close(): void {
    this.closed = true;
    for (const timer of this.sleeps.values()) timer.cancel();
  }

  /** Lets a job wait among those of its service. */
  private enrol(execution: JobExecution): void {
    const service = this.serviceOf(execution);
    const jobs = this.active.get(service) ?? new Set();
    this.active.set(service, jobs.add(execution));
    this.wake(service);
  }

  private serviceOf(execution: JobExecution): string {
    return this.host.queueOf(execution)?.service ?? execution.job.service;
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
    const candidates = orderWaiting(
      this.candidates(service, now),
      this.roomOf(service, sessions),
      now,
    );
    const round = new PlacementRound(sessions, this.choice, now);
    const room = sessions[0]?.entry.room;
    this.demand.noteRoom(room);
    let misses = 0;
    let waitingMillicores = 0;
    let waitingTasks = 0;
    const spreads = new Map<string, SpreadStep>();
    for (const candidate of candidates) {
      const full = new Set<string>();
      for (const tasks of groupsOf(candidate.ready)) {
        if (!this.mayOrder(tasks)) {
          this.held.add(service);
          continue;
        }
        // More VMs would not help: what waits for a limit asks for none.
        if (!this.host.mayStart(candidate.execution, tasks, service)) continue;
        const key = stepName(candidate.execution.job.id, tasks[0]);
        const placed =
          misses < MISSES_BEFORE_GIVING_UP &&
          !full.has(key) &&
          this.placeTogether(round, candidate, tasks, now);
        if (placed) continue;
        if (!full.has(key)) misses++;
        full.add(key);
        waitingTasks += tasks.length;
        noteSpread(spreads, key, candidate.execution, tasks);
        for (const task of tasks)
          waitingMillicores +=
            candidate.weight * occupiedMillicores(task.specification, room);
      }
    }
    const before = this.loadOf(service).waitingSince;
    const waitingSince = waitingTasks > 0 ? (before ?? now) : undefined;
    this.loads.set(service, {
      waitingMillicores,
      waitingTasks,
      spreadVms: vmsForSpread(spreads.values()),
      waitingSince,
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

  private candidates(service: string, now: number): Candidate[] {
    const found: Candidate[] = [];
    const wall = this.clock.wallMilliseconds();
    let nextDue = Infinity;
    for (const execution of this.active.get(service) ?? []) {
      const ready = execution.readyTasks(wall);
      if (ready.length > 0)
        found.push(this.candidate(execution, ready, now, wall));
      else
        nextDue = Math.min(nextDue, execution.nextDueAfter(wall) ?? Infinity);
    }
    this.sleepUntil(service, nextDue, wall);
    return found;
  }

  private candidate(
    execution: JobExecution,
    ready: readonly ExecutableTask[],
    now: number,
    wall: number,
  ): Candidate {
    const {occurrence} = ready[0];
    const dueWall = execution.dueAt(occurrence);
    const since =
      dueWall > 0
        ? now - (wall - dueWall)
        : (this.firstSeen.get(execution) ?? now);
    const remainingChain = execution.remainingChain(
      occurrence,
      this.stepTimes(execution),
    );
    const objective = this.objectiveOf(execution);
    const waiting = {
      priority: this.host.queueOf(execution)?.priority ?? 0,
      dueAt: since + objective,
      lateUntil: since + LATE_FACTOR * objective,
      remainingChain,
    };
    const chance = chanceOf(waiting, now);
    const {longRunning} = ready[0].specification;
    // A job that lasts is always older than its objective: its tasks are few, run for long, and are missed at once.
    const goesFirst =
      longRunning ||
      (chance === Chance.LastCall && this.rescues.allows(execution.job.id));
    return {
      execution,
      ready,
      ...waiting,
      remainingWork: execution.remainingWork(occurrence, step =>
        this.demand.taskWork(execution.job.queue, step),
      ),
      rank: rankOf(chance, goesFirst),
      weight: longRunning ? 1 : WEIGHTS[chance],
    };
  }

  /** Run time to expect of each step of a job. */
  private stepTimes(execution: JobExecution): ExpectedTime {
    const {queue} = execution.job;
    return step => this.demand.stepTime(queue, step);
  }

  /** A task that has stood still or failed on several workers is left to go on: it may be far longer than its estimate. */
  private isWatched(execution: JobExecution, task: ExecutableTask): boolean {
    const failures = this.failures.get(taskName(execution.job.id, task));
    return (failures?.workers.size ?? 0) < MOST_STALLS;
  }

  /** Where a task goes last, or not at all for a while. */
  private avoidanceOf(
    execution: JobExecution,
    task: ExecutableTask,
    now: number,
  ): Avoidance {
    const failures = this.failures.get(taskName(execution.job.id, task));
    if (!failures) return NO_AVOIDANCE;
    const {workers, newestAt} = failures;
    const isBarred = now - newestAt < BAR_MILLISECONDS;
    return {workers, isBarred};
  }

  /** Replaces the service's timer: with one for each round and job, busy rounds would lead to as many later ones for good. */
  private sleepUntil(service: string, dueAt: number, wall: number): void {
    this.sleeps.get(service)?.cancel();
    this.sleeps.delete(service);
    if (dueAt === Infinity) return;
    const wait = Math.min(dueAt - wall, LONGEST_SLEEP_MILLISECONDS);
    const timer = this.clock.schedule(wait, () => this.wake(service));
    this.sleeps.set(service, timer);
  }

  /** Places all of `tasks` or none. */
  private placeTogether(
    round: PlacementRound,
    candidate: Candidate,
    tasks: readonly ExecutableTask[],
    now: number,
  ): boolean {
    const {execution, weight} = candidate;
    const chosen: WorkerSession[] = [];
    for (const task of tasks) {
      const session = round.take(
        stepName(execution.job.id, task),
        task,
        this.avoidanceOf(execution, task, now),
      );
      if (!session) {
        round.giveBack();
        return false;
      }
      chosen.push(session);
    }
    round.keep();
    this.turns.noteTurn(this.serviceOf(execution));
    const together = tasks[0].specification.gang
      ? 1 + Math.max(...tasks.map(task => task.progress.run))
      : undefined;
    tasks.forEach((task, index) => {
      const session = chosen[index];
      const run = execution.beginRun(task, session.id, together);
      const planned = newLiveRun(execution, task, {
        run,
        plannedAt: now,
        weight,
        expectedMilliseconds: this.expectedTime(execution, task),
        isWatched: this.isWatched(execution, task),
        status: RunStatus.Planned,
        settledAt: Infinity,
      });
      this.host.launch(session, planned);
    });
    return true;
  }
}

/** Counts tasks of a step that wait, with those of it that run. */
function noteSpread(
  spreads: Map<string, SpreadStep>,
  key: string,
  execution: JobExecution,
  tasks: readonly ExecutableTask[],
): void {
  const {occurrence, step, specification} = tasks[0];
  if (specification.maximumPerWorker === 0) return;
  const before = spreads.get(key);
  const running =
    before?.running ??
    execution
      .tasksOfStep(occurrence, step)
      .filter(({progress}) => progress.worker !== '').length;
  spreads.set(key, {
    waiting: (before?.waiting ?? 0) + tasks.length,
    running,
    maximumPerWorker: specification.maximumPerWorker,
  });
}

const NOWHERE: ReadonlySet<string> = new Set();
const NO_AVOIDANCE: Avoidance = {workers: NOWHERE, isBarred: false};
