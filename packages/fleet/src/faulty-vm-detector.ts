/** Outcomes remembered of one VM. */
const OUTCOMES_KEPT = 10;
/** Distinct jobs that must have failed on a VM in a row. */
const MINIMUM_DISTINCT_JOBS = 3;
/** With more failures than this on the other VMs, the fault is the jobs' or a shared one. */
const MAXIMUM_POOL_FAILURE_SHARE = 0.3;
/** Weight of the newest outcome in the pool's share of failures. */
const SMOOTHING_FACTOR = 0.05;

interface Outcome {
  readonly job: string;
  readonly failed: boolean;
}

/**
 * Tells a worker that fails everything it starts from a job that fails everywhere. Answers
 * the worker that looks idle because it fails within moments, and so draws the whole queue:
 * without it one VM fails most of a night's work. A VM is at fault when distinct jobs fail on
 * it in a row while the rest of its pool succeeds; a job that fails on three VMs is at fault
 * itself, and the fold sets it aside.
 */
export class FaultyVmDetector {
  private readonly recentOutcomes = new Map<string, Outcome[]>();
  private readonly failureShareByPool = new Map<string, number>();

  observe(pool: string, vm: string, job: string, failed: boolean): void {
    const list = this.recentOutcomes.get(vm) ?? [];
    list.push({job, failed});
    if (list.length > OUTCOMES_KEPT) list.shift();
    this.recentOutcomes.set(vm, list);
    // The suspected VM's own failures must not hide it behind the pool's average.
    if (failed && this.hasConsecutiveFailures(vm)) return;
    const share = this.failureShareByPool.get(pool) ?? 0;
    const outcome = failed ? 1 : 0;
    this.failureShareByPool.set(
      pool,
      share + (outcome - share) * SMOOTHING_FACTOR,
    );
  }

  /** Whether the VM, and not its jobs, is at fault. */
  isFaulty(pool: string, vm: string): boolean {
    if ((this.failureShareByPool.get(pool) ?? 0) > MAXIMUM_POOL_FAILURE_SHARE)
      return false;
    return this.hasConsecutiveFailures(vm);
  }

  /** VMs at fault. */
  faultyVms(poolOf: (vm: string) => string): Set<string> {
    const vms = [...this.recentOutcomes.keys()];
    return new Set(vms.filter(vm => this.isFaulty(poolOf(vm), vm)));
  }

  /** Forgets a VM that was repaired. */
  forget(vm: string): void {
    this.recentOutcomes.delete(vm);
  }

  private hasConsecutiveFailures(vm: string): boolean {
    const jobs = new Set<string>();
    for (const {job, failed} of (
      this.recentOutcomes.get(vm) ?? []
    ).toReversed()) {
      if (!failed) break;
      jobs.add(job);
    }
    return jobs.size >= MINIMUM_DISTINCT_JOBS;
  }
}
