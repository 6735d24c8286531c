import type {Clock} from '@gentiandoor/kernel';
import type {
  ExecutableTask,
  StepEstimate,
  JobExecution,
} from '@gentiandoor/jobs';
import {
  DeadlineFeasibility,
  PriorityBoostBudget,
  feasibilityOf,
  rankOf,
  type WaitingWork,
} from '@gentiandoor/scheduling';
import {Entitlement, type EntitlementLedger} from '@gentiandoor/organisations';
import type {Queue} from './operator-records.js';
import type {ServiceDemand} from './service-demand.js';

/** A job is worthless to its caller after this multiple of its objective. */
export const LATE_FACTOR = 3;
/**
 * Worth of VMs that continue a job: a late result is worth little to its caller, and one
 * that nobody waits for is worth nothing.
 */
const WEIGHTS: Readonly<Record<DeadlineFeasibility, number>> = {
  [DeadlineFeasibility.InTime]: 1,
  [DeadlineFeasibility.AboutToExpire]: 0.3,
  [DeadlineFeasibility.Late]: 0.3,
  [DeadlineFeasibility.Infeasible]: 0,
};

/** A job that waits for capacity. */
export interface PlacementCandidate extends WaitingWork {
  readonly execution: JobExecution;
  /** Organisation of the job; undefined for a job of a public queue. */
  readonly organisation: string | undefined;
  /**
   * Whether it is within the rate that its organisation is entitled to; an excess job that
   * is about to expire is treated as entitled, which bounds its deferral.
   */
  readonly entitlement: Entitlement;
  readonly ready: readonly ExecutableTask[];
  /** Worth of VMs that run the job, in [0, 1]. */
  readonly weight: number;
}

/** Importance of the running work of a job. */
export interface JobStanding {
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  /** Deadline of its objective. */
  readonly dueAt: number;
  /** Time after which nobody waits for its result. */
  readonly expiresAt: number;
  readonly entitlement: Entitlement;
}

/** Jobs of a service that have ready tasks. */
export interface ReadyJobs {
  readonly candidates: readonly PlacementCandidate[];
  /**
   * Wall-clock time at which the next occurrence of a job is due; infinite if there is
   * none.
   */
  readonly nextDue: number;
}

/**
 * Tracks the unfinished jobs by the service that runs them, and whether each can still
 * meet its objective.
 */
export class WaitingJobs {
  private readonly active = new Map<string, Set<JobExecution>>();
  private readonly firstSeen = new Map<JobExecution, number>();
  private readonly priorityBoosts = new PriorityBoostBudget();

  constructor(
    private readonly queueOf: (execution: JobExecution) => Queue | undefined,
    private readonly demand: ServiceDemand,
    private readonly entitlements: EntitlementLedger,
    private readonly clock: Clock,
  ) {}

  /** Adds a job that is `ageMilliseconds` old; returns its service. */
  add(execution: JobExecution, ageMilliseconds: number): string {
    const now = this.clock.monotonicMilliseconds();
    this.firstSeen.set(execution, now - ageMilliseconds);
    return this.addToService(execution);
  }

  /** Removes a job that has ended. */
  remove(execution: JobExecution): void {
    for (const jobs of this.active.values()) jobs.delete(execution);
    this.firstSeen.delete(execution);
    this.priorityBoosts.recordServed();
    this.priorityBoosts.forget(execution.job.id);
  }

  /**
   * Regroups the jobs after a configuration change, which may assign queues to other
   * services; returns all services that have jobs.
   */
  regroup(): Iterable<string> {
    const all = [...this.active.values()].flatMap(jobs => [...jobs]);
    this.active.clear();
    for (const execution of all) this.addToService(execution);
    return this.active.keys();
  }

  serviceOf(execution: JobExecution): string {
    return this.queueOf(execution)?.service ?? execution.job.service;
  }

  /** Returns the services with jobs that have not ended. */
  *services(): Iterable<string> {
    for (const [service, jobs] of this.active) if (jobs.size > 0) yield service;
  }

  /** Returns whether a task of a service may start now. */
  hasReadyTasks(service: string): boolean {
    const wall = this.clock.wallMilliseconds();
    for (const execution of this.active.get(service) ?? [])
      if (execution.readyTasks(wall).length > 0) return true;
    return false;
  }

  /** Returns whether a service has jobs that have not ended. */
  hasJobs(service: string): boolean {
    return (this.active.get(service)?.size ?? 0) > 0;
  }

  /** Returns for how long a job has been known, in milliseconds. */
  ageOf(execution: JobExecution): number {
    const now = this.clock.monotonicMilliseconds();
    return now - (this.firstSeen.get(execution) ?? now);
  }

  /**
   * Returns the milliseconds from its submission within which a job's caller expects it
   * to be done, as far as its run times are known.
   */
  objectiveOf(execution: JobExecution): number {
    const queue = this.queueOf(execution);
    const criticalPath = execution.criticalPathMilliseconds(
      this.stepTimes(execution),
    );
    return (
      (queue?.stretch ?? 1) * criticalPath + (queue?.latencyMilliseconds ?? 0)
    );
  }

  /** Returns jobs with tasks that may start now. */
  readyFor(service: string, now: number): ReadyJobs {
    const candidates: PlacementCandidate[] = [];
    const wall = this.clock.wallMilliseconds();
    let nextDue = Infinity;
    for (const execution of this.active.get(service) ?? []) {
      const ready = execution.readyTasks(wall);
      if (ready.length > 0)
        candidates.push(this.candidate(execution, ready, now, wall));
      nextDue = Math.min(
        nextDue,
        execution.nextScheduledStartAfter(wall) ?? Infinity,
      );
    }
    return {candidates, nextDue};
  }

  /** Returns the standing of an occurrence of a job. */
  standingOf(
    execution: JobExecution,
    occurrence: number,
    now: number,
    wall: number,
  ): JobStanding {
    const dueWall = execution.scheduledStartAt(occurrence);
    const since =
      dueWall > 0
        ? now - (wall - dueWall)
        : (this.firstSeen.get(execution) ?? now);
    const objective = this.objectiveOf(execution);
    return {
      priority: this.queueOf(execution)?.priority ?? 0,
      dueAt: since + objective,
      expiresAt: since + LATE_FACTOR * objective,
      entitlement: this.entitlements.entitlementOf(execution.job.id),
    };
  }

  private addToService(execution: JobExecution): string {
    const service = this.serviceOf(execution);
    const jobs = this.active.get(service) ?? new Set();
    this.active.set(service, jobs.add(execution));
    return service;
  }

  private candidate(
    execution: JobExecution,
    ready: readonly ExecutableTask[],
    now: number,
    wall: number,
  ): PlacementCandidate {
    const {occurrence} = ready[0];
    const remainingCriticalPath = execution.remainingCriticalPathMilliseconds(
      occurrence,
      this.stepTimes(execution),
    );
    const {priority, dueAt, expiresAt, entitlement} = this.standingOf(
      execution,
      occurrence,
      now,
      wall,
    );
    const waiting = {
      priority,
      dueAt,
      expiresAt,
      remainingCriticalPathMilliseconds: remainingCriticalPath,
    };
    const feasibility = feasibilityOf(waiting, now);
    const {longRunning} = ready[0].specification;
    // A long-running job is always older than its objective. It has few tasks, which
    // run for a long time, and their absence is noticed at once.
    // An excess job gets no boost: entitled jobs that can still be in time precede it.
    const isAboutToExpire = feasibility === DeadlineFeasibility.AboutToExpire;
    const goesFirst =
      longRunning ||
      (isAboutToExpire &&
        entitlement === Entitlement.Entitled &&
        this.priorityBoosts.allows(execution.job.id));
    return {
      execution,
      organisation: execution.job.organisation,
      entitlement: isAboutToExpire ? Entitlement.Entitled : entitlement,
      ready,
      ...waiting,
      remainingMillicoreMilliseconds: execution.remainingWork(
        occurrence,
        step => this.demand.taskWork(execution.job.queue, step),
      ),
      rank: rankOf(feasibility, goesFirst),
      weight: longRunning ? 1 : WEIGHTS[feasibility],
    };
  }

  /** Returns the expected run time of each step of a job. */
  private stepTimes(execution: JobExecution): StepEstimate {
    const {queue} = execution.job;
    return step => this.demand.stepTime(queue, step);
  }
}
