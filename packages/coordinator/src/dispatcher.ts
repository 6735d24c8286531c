import type {Clock} from '@gentiandoor/kernel';
import type {ExecutableTask, JobExecution} from '@gentiandoor/jobs';
import {
  Entitlement,
  sumResources,
  type EntitlementLedger,
  type PoolShares,
  type Resources,
  type SharePolicy,
} from '@gentiandoor/organisations';
import {
  PlacementShortage,
  largestCapacity,
  type PoolMillicores,
  type WaitingOrder,
  type WorkerChoice,
} from '@gentiandoor/scheduling';
import {orderByEntitlement} from './entitlement-order.js';
import {
  RunStatus,
  newLiveRun,
  stepName,
  taskName,
  type LiveRun,
} from './live-run.js';
import type {Queue} from './operator-records.js';
import {PlacementRound, type TaskPlacementRequest} from './placement-round.js';
import {PlacementSchedule} from './placement-schedule.js';
import {RoundCause} from './round-cause.js';
import {
  RoundLimit,
  RoundOutcome,
  type RoundObserver,
  type WaitReason,
} from './round-outcome.js';
import type {RunPreemption} from './run-preemption.js';
import type {ServiceDemand} from './service-demand.js';
import {WaitingLoadCounter, type ServiceLoad} from './service-load.js';
import {ServiceLoads} from './service-loads.js';
import {AVOIDANCE_MILLISECONDS, TaskFailures} from './task-failures.js';
import {groupsOf} from './task-groups.js';
import {WaitingJobs, type PlacementCandidate} from './waiting-jobs.js';
import type {WaitingWorkRecorder} from './waiting-work-recorder.js';
import type {WorkerSession} from './worker-session.js';

/** Functions of the coordinator that a dispatcher calls. */
export interface DispatchHost {
  sessionsOf(service: string): readonly WorkerSession[];
  queueOf(execution: JobExecution): Queue | undefined;
  /**
   * Whether `count` more orders may be sent now; beyond the limit they would only queue at this
   * daemon.
   */
  mayOrder(count: number): boolean;
  /** Whether the limit of the job's organisation allows these tasks to start together. */
  organisationLimitAllows(
    execution: JobExecution,
    tasks: readonly ExecutableTask[],
    service: string,
  ): boolean;
  /** Shares of organisations in the pool of a service, including at least those in `waiting`. */
  poolShares(
    service: string,
    waiting: ReadonlySet<string>,
    pool: Resources,
  ): PoolShares;
  /** Stores the run, then sends its order. */
  launch(session: WorkerSession, run: LiveRun): void;
}

/**
 * A placement round stops after this many steps found the pool full. Steps of
 * excess jobs are counted separately: otherwise capacity that large entitled tasks can't use would
 * stay idle although smaller excess tasks fit.
 */
const MAXIMUM_PLACEMENT_MISSES = 12;

/** Places the ready tasks of all jobs on workers. */
export class Dispatcher {
  private readonly jobs: WaitingJobs;
  private readonly failures: TaskFailures;
  private readonly loads: ServiceLoads;
  /** Millicores of VMs that are being moved into the pool of each service. */
  private readonly incomingMillicores = new Map<string, number>();
  private readonly schedule: PlacementSchedule;

  constructor(
    private readonly host: DispatchHost,
    private readonly workerChoice: WorkerChoice,
    private readonly waitingOrder: WaitingOrder,
    private readonly sharePolicy: SharePolicy,
    entitlements: EntitlementLedger,
    private readonly demand: ServiceDemand,
    private readonly clock: Clock,
    /** Undefined if no run is stopped for other work. */
    private readonly preemption?: RunPreemption,
    /** Undefined if waiting work is not reported to all daemons. */
    private readonly waitingWork?: WaitingWorkRecorder,
    /** Undefined if nobody observes the rounds. */
    private readonly observer?: RoundObserver,
  ) {
    this.failures = new TaskFailures(clock);
    this.schedule = new PlacementSchedule(clock, (service, causes) =>
      this.placeService(service, causes),
    );
    this.jobs = new WaitingJobs(
      execution => host.queueOf(execution),
      demand,
      entitlements,
      clock,
    );
    this.loads = new ServiceLoads(service => this.jobs.hasJobs(service));
  }

  /** Adds a job that is `ageMilliseconds` old. */
  add(execution: JobExecution, ageMilliseconds: number): void {
    this.noteDemand(execution, ageMilliseconds);
    this.waitingWork?.noteArrival(
      this.jobs.serviceOf(execution),
      execution,
      ageMilliseconds,
    );
    this.schedulePlacement(
      this.jobs.add(execution, ageMilliseconds),
      RoundCause.JobAdded,
    );
  }

  /**
   * Counts a job submitted `ageMilliseconds` ago towards demand whatever its state, since load
   * peaks are estimated from arrivals.
   */
  noteDemand(execution: JobExecution, ageMilliseconds: number): void {
    const at = this.clock.monotonicMilliseconds() - ageMilliseconds;
    this.demand.note(this.jobs.serviceOf(execution), execution.job, at);
  }

  /** Records the duration of a run that ended successfully. */
  noteDuration(run: LiveRun, milliseconds: number): void {
    const {specification} = run.executableTask;
    if (run.startConfirmedAt !== undefined)
      this.demand.noteStartDelay(run.startConfirmedAt - run.plannedAt);
    const {longRunning, estimatedMilliseconds} = specification;
    if (longRunning || estimatedMilliseconds <= 0) return;
    const {queue} = run.execution.job;
    this.demand.noteDuration(queue, specification, run.stepKey, milliseconds);
  }

  /** Returns the expected run time of a task in milliseconds. */
  expectedTime(execution: JobExecution, task: ExecutableTask): number {
    return this.demand.expectedTime(execution.job.queue, task.specification);
  }

  /** Removes a job that has ended. */
  remove(execution: JobExecution): void {
    this.jobs.remove(execution);
    this.failures.forgetJob(execution.job.id);
  }

  /** Records that a run failed on a worker, so that the next attempt goes to another worker. */
  noteFailure(run: LiveRun, workerId: string): void {
    this.failures.note(run.task, workerId);
    const service = this.jobs.serviceOf(run.execution);
    this.clock.schedule(AVOIDANCE_MILLISECONDS, () =>
      this.schedulePlacement(service, RoundCause.ConditionLapsed),
    );
  }

  /** Records that a worker crashed during a run, so that the next attempt is isolated. */
  noteCrash(run: LiveRun): void {
    this.failures.noteCrash(run.task);
  }

  /** Returns whether a task would have to be isolated from other jobs' tasks if it started now. */
  mustIsolate(execution: JobExecution, task: ExecutableTask): boolean {
    const {total} = task.progress.crashes;
    if (total === 0) return false;
    return this.failures.mustIsolate(taskName(execution.job.id, task), total);
  }

  /** Returns how long ago a job was submitted, as far as known. */
  ageOf(execution: JobExecution): number {
    return this.jobs.ageOf(execution);
  }

  /**
   * Returns a job's latency objective, measured from its submission and based on the run times
   * known so far.
   */
  objectiveOf(execution: JobExecution): number {
    return this.jobs.objectiveOf(execution);
  }

  /** Sets the capacity of the VMs that are being moved into the pool of `service`. */
  setIncomingMillicores(service: string, millicores: number): void {
    this.incomingMillicores.set(service, millicores);
    this.waitingWork?.noteIncoming(service, millicores);
  }

  loadOf(service: string): ServiceLoad {
    return this.loads.loadOf(service);
  }

  /** Schedules a placement round for `service`. */
  schedulePlacement(service: string, cause: RoundCause): void {
    this.schedule.request(service, cause);
  }

  /**
   * Schedules rounds after the end of a run: for the service of its worker, which has capacity
   * again, and for the one where its job waits, which another configuration may have changed.
   */
  noteRunEnded(execution: JobExecution, workerService?: string): void {
    if (workerService !== undefined)
      this.schedulePlacement(workerService, RoundCause.RunEnded);
    this.schedulePlacement(this.jobs.serviceOf(execution), RoundCause.RunEnded);
  }

  /** Schedules services that wait for orders in flight, since more of them are allowed. */
  noteOrdersAllowed(): void {
    this.schedule.noteOrdersAllowed();
  }

  /**
   * Regroups all jobs after a configuration change, since queues may have moved to other services.
   */
  regroup(): void {
    this.waitingWork?.clear();
    for (const service of this.jobs.regroup())
      this.schedulePlacement(service, RoundCause.ConfigurationChanged);
  }

  /** Returns the services with jobs that have not ended. */
  services(): Iterable<string> {
    return this.jobs.services();
  }

  /** Returns whether a task of a service may start now. */
  hasReadyTasks(service: string): boolean {
    return this.jobs.hasReadyTasks(service);
  }

  close(): void {
    this.schedule.close();
  }

  private placeService(service: string, causes: ReadonlySet<RoundCause>): void {
    const now = this.clock.monotonicMilliseconds();
    const sessions = this.host
      .sessionsOf(service)
      .filter(session => session.acceptsStarts);
    const {candidates, nextDue} = this.jobs.readyFor(service, now);
    this.schedule.requestAt(service, nextDue);
    const largestVmCapacity = largestCapacity(
      sessions.map(({entry}) => entry.capacity),
    );
    this.demand.noteVmCapacity(largestVmCapacity);
    const round = new PlacementRound(sessions, this.workerChoice, now);
    const waitingLoad = new WaitingLoadCounter(largestVmCapacity);
    const capacity = this.poolCapacityOf(service, sessions);
    const groups = orderByEntitlement(
      candidates,
      this.waitingOrder,
      capacity,
      now,
    );
    const unplaced: PlacementCandidate[] = [];
    const outcome = new RoundOutcome();
    const misses = {[Entitlement.Entitled]: 0, [Entitlement.Excess]: 0};
    for (const candidate of this.orderByShares(service, groups, sessions)) {
      const {entitlement} = candidate;
      const isMissLimitReached =
        misses[entitlement] >= MAXIMUM_PLACEMENT_MISSES;
      misses[entitlement] += this.placeCandidate(
        {
          service,
          round,
          waitingLoad,
          now,
          isMissLimitReached,
          unplaced,
          outcome,
        },
        candidate,
      );
    }
    const before = this.loads.waitingLoadOf(service);
    this.loads.set(service, waitingLoad.load(before, now));
    this.waitingWork?.noteRound(service, unplaced, sessions, now);
    this.observer?.noteRound(outcome.summaryOf(service, causes));
    this.preemption?.afterRound({
      service,
      sessions,
      jobs: this.jobs,
      candidates,
      waitingOrder: this.waitingOrder,
      capacity,
      now,
    });
  }

  /**
   * Orders jobs by shares within each group of equal rank and entitlement only: by shares alone,
   * late jobs would precede jobs that can still be in time.
   */
  private *orderByShares(
    service: string,
    groups: ReadonlyArray<readonly PlacementCandidate[]>,
    sessions: readonly WorkerSession[],
  ): Iterable<PlacementCandidate> {
    const waiting = new Set<string>();
    for (const {organisation, weight} of groups.flat())
      if (organisation !== undefined && weight > 0) waiting.add(organisation);
    if (waiting.size === 0) {
      yield* groups.flat();
      return;
    }
    const pool = sumResources(sessions.map(({entry}) => entry.capacity));
    const shares = this.host.poolShares(service, waiting, pool);
    for (const jobs of groups) yield* this.sharePolicy.order(jobs, shares);
  }

  /**
   * Places the ready tasks of a job; returns the number of its steps that found the pool full.
   */
  private placeCandidate(
    placement: ServicePlacement,
    candidate: PlacementCandidate,
  ): number {
    const {service, round, waitingLoad, now, isMissLimitReached, outcome} =
      placement;
    let isWaiting = false;
    const {execution} = candidate;
    /** Why steps of the job wait. */
    const reasons = new Map<string, WaitReason>();
    let misses = 0;
    for (const tasks of groupsOf(candidate.ready)) {
      if (!this.mayOrder(tasks)) {
        this.schedule.requestAfterOrders(service);
        outcome.noteWaiting(tasks, RoundLimit.OrdersInFlight);
        isWaiting = true;
        continue;
      }
      // Tasks that wait for a limit do not count as waiting load, since more VMs would not help.
      if (!this.host.organisationLimitAllows(execution, tasks, service)) {
        outcome.noteWaiting(tasks, RoundLimit.Organisation);
        continue;
      }
      const key = stepName(execution.job.id, tasks[0]);
      const isPlaced =
        !isMissLimitReached &&
        !reasons.has(key) &&
        this.placeTogether(round, candidate, tasks, now);
      if (isPlaced) {
        outcome.notePlaced(tasks);
        continue;
      }
      this.retryIsolated(service, candidate, tasks);
      let reason = isMissLimitReached ? RoundLimit.Misses : reasons.get(key);
      if (reason === undefined) {
        const request = this.placementRequestOf(execution, tasks[0], now);
        const shortage = round.shortageOf(request);
        if (round.indicatesFullPool(shortage)) misses++;
        if (shortage === PlacementShortage.Restricted)
          this.schedule.retryRestricted(service);
        reason = shortage;
      }
      reasons.set(key, reason);
      outcome.noteWaiting(tasks, reason);
      if (!isMissLimitReached)
        this.preemption?.noteUnplaced(
          candidate,
          tasks,
          this.placementRequestOf(execution, tasks[0], now),
        );
      waitingLoad.note(candidate, tasks);
      isWaiting = true;
    }
    if (isWaiting) placement.unplaced.push(candidate);
    return misses;
  }

  private retryIsolated(
    service: string,
    {execution}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
  ): void {
    if (tasks.some(task => this.mustIsolate(execution, task)))
      this.schedule.retryRestricted(service);
  }

  /**
   * Returns whether tasks may be ordered now. Long-running tasks are few and their absence is
   * noticed at once, so they do not wait behind the orders of a load peak.
   */
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
      incomingMillicores: this.incomingMillicores.get(service) ?? 0,
    };
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

  /** Places all of `tasks` or none of them. */
  private placeTogether(
    round: PlacementRound,
    {execution, weight}: PlacementCandidate,
    tasks: readonly ExecutableTask[],
    now: number,
  ): boolean {
    const chosen: Array<{session: WorkerSession; isIsolated: boolean}> = [];
    for (const task of tasks) {
      const request = this.placementRequestOf(execution, task, now);
      const session = round.reserve(request);
      if (!session) {
        round.rollBack();
        return false;
      }
      chosen.push({session, isIsolated: request.isIsolated});
    }
    round.commit();
    this.schedule.noteServed(this.jobs.serviceOf(execution));
    const gangRun = tasks[0].specification.gang
      ? 1 + Math.max(...tasks.map(task => task.progress.run))
      : undefined;
    tasks.forEach((task, index) => {
      const {session, isIsolated} = chosen[index];
      const run = newLiveRun(execution, task, {
        run: execution.beginRun(task, session.id, gangRun),
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
      this.host.launch(session, run);
    });
    return true;
  }
}

/** State of one placement round of a service. */
interface ServicePlacement {
  readonly service: string;
  readonly round: PlacementRound;
  /** Sums up the tasks that could not be placed. */
  readonly waitingLoad: WaitingLoadCounter;
  readonly now: number;
  /** Too many steps could not be placed: the remaining ones are only counted as waiting. */
  readonly isMissLimitReached: boolean;
  /** Jobs of which some tasks could not be placed; those that wait for a limit are left out. */
  readonly unplaced: PlacementCandidate[];
  readonly outcome: RoundOutcome;
}
