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

/** Calls to the platform at one time. */
const MAXIMUM_CONCURRENT_CALLS = 32;
/** A task that is to stop runs on at this share until its checkpoint is written. */
const THROTTLED_SHARE = 0.25;
/** Starts that may fail before the task is barred and its job placed elsewhere. */
const MAXIMUM_START_ATTEMPTS = 3;

const OUTCOMES: Readonly<Record<TaskState, JobOutcome | undefined>> = {
  [TaskState.Running]: undefined,
  [TaskState.Finished]: JobOutcome.Finished,
  [TaskState.Failed]: JobOutcome.Failed,
  [TaskState.Stopped]: JobOutcome.Stopped,
  [TaskState.Lapsed]: JobOutcome.Lapsed,
  [TaskState.NeverStarted]: JobOutcome.NeverStarted,
};

/** What the runner needs. */
export interface JobRunnerDependencies {
  readonly clock: Clock;
  readonly identity: DaemonIdentity;
  readonly sharedState: SharedState;
  readonly leaseClient: LeaseClient;
  readonly fleetPublisher: FleetPublisher;
  readonly fleetPlanner: FleetPlanner;
  readonly fleetOptions: FleetOptions;
}

/** Names an attempt towards the platform: the same again is the same task, never a second run. */
export function taskId(job: Job): string {
  return `${job.key}/${job.attempt}`;
}

/**
 * Runs placed jobs as tasks under leases. Only what was read back as placed is started. A
 * planner that was paused starts the same task id as its successor, so the platform runs it
 * once; a lease that lapsed is an outcome nobody knows, never a reason to start again.
 */
export class JobRunner {
  private readonly renewedAt = new Map<string, number>();
  private readonly failedStarts = new Map<string, number>();
  private readonly stoppingTasks = new Set<string>();

  constructor(private readonly dependencies: JobRunnerDependencies) {}

  /** VMs that fail every job they start. */
  faultyVms(): ReadonlySet<string> {
    const {sharedState, fleetPlanner} = this.dependencies;
    return fleetPlanner.faultyVmDetector.faultyVms(
      vm => sharedState.state.vms.get(vm)?.pool ?? '',
    );
  }

  /** Starts, renews, stops and reports; does nothing where no job is placed. */
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

  /** Starts what was placed since the last round, without asking for reports first. */
  async startNewTasks(state: FleetState, signal: AbortSignal): Promise<void> {
    const fresh = [...placedJobsByTaskId(state)]
      .filter(([id]) => !this.renewedAt.has(id) && !this.failedStarts.has(id))
      .map(([, job]) => job)
      .filter(job => !mustStop(state, job));
    await this.runInBatches(fresh, job => this.startTask(job, signal));
  }

  private async reportedTasks(
    signal: AbortSignal,
  ): Promise<Map<string, TaskReport> | undefined> {
    try {
      const reports = await this.dependencies.leaseClient.report(signal);
      return new Map(reports.map(report => [report.id, report]));
    } catch {
      // The platform cannot be asked: leases may lapse, and that is settled when it answers.
      return undefined;
    }
  }

  private observeTasks(
    placed: ReadonlyMap<string, Job>,
    tasks: ReadonlyMap<string, TaskReport>,
  ): JobReport[] {
    const {jobSizeEstimator: sizes, faultyVmDetector: failures} =
      this.dependencies.fleetPlanner;
    const ended: JobReport[] = [];
    for (const [id, job] of placed) {
      const task = tasks.get(id);
      if (!task) continue;
      sizes.observe(job.jobClass, task.usage);
      const outcome = OUTCOMES[task.state];
      if (outcome === undefined) continue;
      const {key, attempt, pool, vm = ''} = job;
      ended.push({key, attempt, outcome});
      const isVerdict =
        outcome === JobOutcome.Finished || outcome === JobOutcome.Failed;
      if (isVerdict)
        failures.observe(pool, vm, key, outcome === JobOutcome.Failed);
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
    const isOver = task !== undefined && task.state !== TaskState.Running;
    if (isOver) return;
    if (mustStop(state, job)) return this.stopTask(job, task, signal);
    if (!task) return this.startTask(job, signal);
    return this.renewLease(job, signal);
  }

  private async startTask(job: Job, signal: AbortSignal): Promise<void> {
    const {leaseClient, fleetOptions} = this.dependencies;
    const id = taskId(job);
    if ((this.failedStarts.get(id) ?? 0) >= MAXIMUM_START_ATTEMPTS) {
      // Barred first: only then is it certain that no start of it is still on its way.
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
    const length = fleetOptions.lease_milliseconds;
    const last = this.renewedAt.get(id) ?? -Infinity;
    if (clock.monotonicMilliseconds() - last < length / 3) return;
    await leaseClient.renew(id, length, signal).then(
      () => this.recordRenewal(id),
      () => undefined,
    );
  }

  /** Throttled, then checkpointed, then stopped: what was done is not lost. */
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
      // Tried again in the next round.
    } finally {
      this.stoppingTasks.delete(id);
    }
  }

  private recordRenewal(id: string): void {
    this.renewedAt.set(id, this.dependencies.clock.monotonicMilliseconds());
    this.failedStarts.delete(id);
  }

  private pruneUnplacedTasks(placed: ReadonlyMap<string, Job>): void {
    for (const known of [this.renewedAt, this.failedStarts])
      for (const id of known.keys()) if (!placed.has(id)) known.delete(id);
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

/** Cancelled jobs stop; a drain moves only what may be run again, and waits for the rest. */
function mustStop(state: FleetState, job: Job): boolean {
  if (job.cancelRequested) return true;
  const work = state.work.get(job.vm ?? '');
  const isLeaving =
    work !== undefined && !capacityIndexOf(state).isAvailable(job.vm ?? '');
  return isLeaving && job.idempotent;
}
