import type {FleetPlanner} from '@gentiandoor/fleet';
import type {Clock, DaemonIdentity} from '@gentiandoor/kernel';
import {
  JobOutcome,
  JobState,
  MAXIMUM_BATCH_ENTRIES,
  RecordKind,
  TaskState,
  capacityIndexOf,
  jobIndexOf,
  type FleetState,
  type Job,
  type JobReport,
  type LeaseClient,
  type SharedState,
  type TaskReport,
} from '@gentiandoor/shared-state';
import type {FleetOptions} from './fleet-options.js';
import type {FleetPublisher} from './fleet-publisher.js';

/** Maximum number of concurrent calls to the platform. */
const MAXIMUM_CONCURRENT_CALLS = 32;
/** Share at which a task that must stop keeps running until its checkpoint is written. */
const THROTTLED_SHARE = 0.25;
/** Failed starts after which the task is barred and its job is placed elsewhere. */
const MAXIMUM_START_ATTEMPTS = 3;

const OUTCOMES: Readonly<Record<TaskState, JobOutcome | undefined>> = {
  [TaskState.Running]: undefined,
  [TaskState.Finished]: JobOutcome.Finished,
  [TaskState.Failed]: JobOutcome.Failed,
  [TaskState.Stopped]: JobOutcome.Stopped,
  [TaskState.Lapsed]: JobOutcome.Lapsed,
  [TaskState.NeverStarted]: JobOutcome.NeverStarted,
};

/** Components that the runner depends on. */
export interface JobRunnerDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly leaseClient: LeaseClient;
  readonly fleetPublisher: FleetPublisher;
  readonly fleetPlanner: FleetPlanner;
  readonly fleetOptions: FleetOptions;
}

/**
 * Returns the id of an attempt at the platform: the same id is the same task, never a
 * second run.
 */
export function taskId(job: Job): string {
  return `${job.key}/${job.attempt}`;
}

/**
 * Runs placed jobs as tasks under leases. Only jobs that were read back as placed are
 * started. A planner that was paused starts the same task id as its successor, so the
 * platform runs the task once. The outcome of a task whose lease lapsed is unknown; a
 * lapsed lease is never a reason to start it again.
 */
export class JobRunner {
  private readonly renewedAt = new Map<string, number>();
  private readonly failedStarts = new Map<string, number>();
  private readonly stoppingTasks = new Set<string>();

  constructor(private readonly dependencies: JobRunnerDependencies) {}

  /** Returns the VMs that fail every job they start. */
  faultyVms(): ReadonlySet<string> {
    const {sharedState, fleetPlanner} = this.dependencies;
    return fleetPlanner.faultyVmDetector.faultyVms(
      vm => sharedState.state.vms.get(vm)?.pool ?? '',
    );
  }

  /**
   * Starts, renews and stops tasks and reports their outcomes; does nothing while no job
   * is placed.
   */
  async reconcile(
    state: FleetState,
    term: number,
    signal: AbortSignal,
  ): Promise<void> {
    const placed = placedJobsByTaskId(state);
    this.pruneUnplacedTasks(placed);
    if (placed.size === 0) return;
    const tasks = await this.reportedTasks(signal);
    if (!tasks) return;
    const ended = this.observeTasks(placed, tasks);
    await this.publishReports(ended, term);
    const running = [...placed.values()].filter(
      job => state.jobs.get(job.key) === job,
    );
    await this.runInBatches(running, job =>
      this.reconcileJob(state, job, tasks.get(taskId(job)), signal),
    );
  }

  /** Starts jobs placed since the last round, without requesting reports first. */
  async startNewTasks(state: FleetState, signal: AbortSignal): Promise<void> {
    const newJobs = [...placedJobsByTaskId(state)]
      .filter(([id]) => !this.renewedAt.has(id) && !this.failedStarts.has(id))
      .map(([, job]) => job)
      .filter(job => !mustStop(state, job));
    await this.runInBatches(newJobs, job => this.startTask(job, signal));
  }

  private async reportedTasks(
    signal: AbortSignal,
  ): Promise<Map<string, TaskReport> | undefined> {
    try {
      const reports = await this.dependencies.leaseClient.report(signal);
      return new Map(reports.map(report => [report.id, report]));
    } catch {
      // The platform is unreachable: leases may lapse; their outcomes are handled once it responds.
      return undefined;
    }
  }

  private observeTasks(
    placed: ReadonlyMap<string, Job>,
    tasks: ReadonlyMap<string, TaskReport>,
  ): JobReport[] {
    const {jobSizeEstimator, faultyVmDetector} = this.dependencies.fleetPlanner;
    const ended: JobReport[] = [];
    for (const [id, job] of placed) {
      const task = tasks.get(id);
      if (!task) continue;
      jobSizeEstimator.observe(job.jobClass, task.usage);
      const outcome = OUTCOMES[task.state];
      if (outcome === undefined) continue;
      const {key, attempt, pool, vm = ''} = job;
      ended.push({key, attempt, outcome});
      const isConclusive =
        outcome === JobOutcome.Finished || outcome === JobOutcome.Failed;
      if (isConclusive)
        faultyVmDetector.observe(pool, vm, key, outcome === JobOutcome.Failed);
    }
    return ended;
  }

  private async publishReports(
    reports: readonly JobReport[],
    term: number,
  ): Promise<void> {
    const {fleetPublisher, identity} = this.dependencies;
    for (let from = 0; from < reports.length; from += MAXIMUM_BATCH_ENTRIES) {
      await fleetPublisher.publish({
        kind: RecordKind.JobsReported,
        writer: identity.incarnation,
        term,
        reports: reports.slice(from, from + MAXIMUM_BATCH_ENTRIES),
      });
    }
  }

  private async reconcileJob(
    state: FleetState,
    job: Job,
    task: TaskReport | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const hasEnded = task !== undefined && task.state !== TaskState.Running;
    if (hasEnded) return;
    if (mustStop(state, job)) return this.stopTask(job, task, signal);
    if (!task) return this.startTask(job, signal);
    return this.renewLease(job, signal);
  }

  private async startTask(job: Job, signal: AbortSignal): Promise<void> {
    const {leaseClient, fleetOptions} = this.dependencies;
    const id = taskId(job);
    if ((this.failedStarts.get(id) ?? 0) >= MAXIMUM_START_ATTEMPTS) {
      // The stop bars the task id: only then is it certain that no start of it is still in flight.
      await leaseClient.stop(id, signal).catch(() => undefined);
      return;
    }
    try {
      await leaseClient.start(
        {
          id,
          vm: job.vm ?? '',
          size: job.size,
          leaseMilliseconds: fleetOptions.lease_milliseconds,
          payload: job.payload,
        },
        signal,
      );
      this.recordRenewal(id);
    } catch {
      this.failedStarts.set(id, (this.failedStarts.get(id) ?? 0) + 1);
    }
  }

  private async renewLease(job: Job, signal: AbortSignal): Promise<void> {
    const {leaseClient, fleetOptions, clock} = this.dependencies;
    const id = taskId(job);
    const leaseMilliseconds = fleetOptions.lease_milliseconds;
    const renewedAt = this.renewedAt.get(id) ?? -Infinity;
    if (clock.monotonicMilliseconds() - renewedAt < leaseMilliseconds / 3)
      return;
    await leaseClient.renew(id, leaseMilliseconds, signal).then(
      () => this.recordRenewal(id),
      () => undefined,
    );
  }

  /** Throttles, checkpoints and then stops a task, so that its progress is not lost. */
  private async stopTask(
    job: Job,
    task: TaskReport | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const {leaseClient} = this.dependencies;
    const id = taskId(job);
    if (this.stoppingTasks.has(id)) return;
    this.stoppingTasks.add(id);
    try {
      if (task) {
        await leaseClient.throttle(id, THROTTLED_SHARE, signal);
        await leaseClient.checkpoint(id, signal);
      }
      await leaseClient.stop(id, signal);
    } catch {
      // Retried in the next round.
    } finally {
      this.stoppingTasks.delete(id);
    }
  }

  private recordRenewal(id: string): void {
    this.renewedAt.set(id, this.dependencies.clock.monotonicMilliseconds());
    this.failedStarts.delete(id);
  }

  private pruneUnplacedTasks(placed: ReadonlyMap<string, Job>): void {
    for (const entries of [this.renewedAt, this.failedStarts])
      for (const id of entries.keys()) if (!placed.has(id)) entries.delete(id);
  }

  private async runInBatches(
    jobs: readonly Job[],
    act: (job: Job) => Promise<void>,
  ): Promise<void> {
    for (let from = 0; from < jobs.length; from += MAXIMUM_CONCURRENT_CALLS)
      await Promise.all(
        jobs.slice(from, from + MAXIMUM_CONCURRENT_CALLS).map(act),
      );
  }
}

function placedJobsByTaskId(state: FleetState): Map<string, Job> {
  const placed = new Map<string, Job>();
  for (const keys of jobIndexOf(state).placedKeysByVm.values()) {
    for (const key of keys) {
      const job = state.jobs.get(key);
      if (job?.state === JobState.Placed) placed.set(taskId(job), job);
    }
  }
  return placed;
}

/**
 * Cancelled jobs must stop; a drain stops only jobs that may run again and waits for the
 * others.
 */
function mustStop(state: FleetState, job: Job): boolean {
  if (job.cancelRequested) return true;
  const work = state.work.get(job.vm ?? '');
  const isLeaving =
    work !== undefined && !capacityIndexOf(state).isAvailable(job.vm ?? '');
  return isLeaving && job.idempotent;
}
