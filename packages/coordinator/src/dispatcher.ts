import type {Clock, LogFields} from '@gentiandoor/kernel';
import type {
  ExecutableTask,
  JobExecution,
  JobSubmission,
} from '@gentiandoor/jobs';
import {
  Entitlement,
  sumResources,
  type EntitlementLedger,
  type SharePolicy,
} from '@gentiandoor/organisations';
import {
  PlacementMisses,
  largestCapacity,
  type PoolMillicores,
  type WaitingOrder,
  type WorkerChoice,
} from '@gentiandoor/scheduling';
import type {DispatchHost} from './dispatch-host.js';
import {orderByEntitlement} from './entitlement-order.js';
import type {LiveRun} from './live-run.js';
import {PlacementRound} from './placement-round.js';
import {PlacementSchedule} from './placement-schedule.js';
import {RoundCause} from './round-cause.js';
import {RoundOutcome, type RoundObserver} from './round-outcome.js';
import type {RunPreemption} from './run-preemption.js';
import type {ServiceDemand} from './service-demand.js';
import {WaitingLoadCounter, type ServiceLoad} from './service-load.js';
import {ServiceLoads} from './service-loads.js';
import {AVOIDANCE_MILLISECONDS, TaskFailures} from './task-failures.js';
import {TaskPlacer} from './task-placer.js';
import {WaitingJobs, type PlacementCandidate} from './waiting-jobs.js';
import type {WaitingWorkRecorder} from './waiting-work-recorder.js';
import type {WorkerSession} from './worker-session.js';

/** Places the ready tasks of all jobs on workers. */
export class Dispatcher {
  private readonly jobs: WaitingJobs;
  private readonly failures: TaskFailures;
  private readonly loads: ServiceLoads;
  /** Millicores of VMs that are being moved into the pool of each service. */
  private readonly incomingMillicores = new Map<string, number>();
  private readonly schedule: PlacementSchedule;
  private readonly placer: TaskPlacer;

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
      this.contain({service}, () => this.placeService(service, causes)),
    );
    this.jobs = new WaitingJobs(
      execution => host.queueOf(execution),
      demand,
      entitlements,
      clock,
    );
    this.loads = new ServiceLoads(service => this.jobs.hasJobs(service));
    this.placer = new TaskPlacer({
      host,
      schedule: this.schedule,
      failures: this.failures,
      preemption,
      expectedTime: (execution, task) => this.expectedTime(execution, task),
      serviceOf: execution => this.jobs.serviceOf(execution),
    });
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
    const service = this.jobs.serviceOf(execution);
    this.demand.note(service, this.runnablePartOf(execution.job), at);
  }

  /** Returns a job without the steps that no VM could run, for which VMs would be moved in vain. */
  private runnablePartOf(job: JobSubmission): JobSubmission {
    const steps = job.steps.filter(step => this.host.fleetCanRun(step));
    return steps.length === job.steps.length ? job : {...job, steps};
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
    return this.placer.mustIsolate(execution, task);
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
    // The configuration causes rounds of all services once it is known.
    if (!this.host.isConfigured) return;
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
    const misses = {
      [Entitlement.Entitled]: new PlacementMisses(),
      [Entitlement.Excess]: new PlacementMisses(),
    };
    for (const candidate of this.orderByShares(service, groups, sessions)) {
      const placement = {
        service,
        round,
        waitingLoad,
        now,
        misses: misses[candidate.entitlement],
        unplaced,
        outcome,
      };
      const job = candidate.execution.job.id;
      const succeeded = this.contain({service, job}, () =>
        this.placer.place(placement, candidate),
      );
      if (!succeeded) round.rollBack();
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
   * Runs a part of a round, whose failure leaves other jobs and services alone; returns whether it
   * succeeded.
   */
  private contain(fields: LogFields, part: () => void): boolean {
    try {
      part();
      return true;
    } catch (error) {
      this.host.placementFailed(fields, error);
      return false;
    }
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
}
