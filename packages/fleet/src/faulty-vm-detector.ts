/** Recent outcomes kept per VM. */
const OUTCOMES_KEPT = 10;
/** Distinct jobs that must have failed consecutively on a VM. */
const MINIMUM_DISTINCT_JOBS = 3;
/**
 * If the failure share of the other VMs exceeds this, the jobs or a shared dependency are at fault.
 */
const MAXIMUM_POOL_FAILURE_SHARE = 0.3;
/** Weight of the newest outcome in the pool's failure share. */
const SMOOTHING_FACTOR = 0.05;

interface Outcome {
  readonly job: string;
  readonly failed: boolean;
}

/**
 * Distinguishes a worker that fails everything it starts from a job that fails everywhere.
 * Load: a worker that looks idle because it fails within moments, and so attracts the whole queue.
 * Without detection one VM fails most of a night's work. A VM is faulty if distinct jobs fail on it
 * consecutively while the rest of its pool succeeds; a job that fails on three VMs is itself at
 * fault, and the fold sets it aside.
 */
export class FaultyVmDetector {
  private readonly recentOutcomes = new Map<string, Outcome[]>();
  private readonly failureShareByPool = new Map<string, number>();

  observe(pool: string, vm: string, job: string, failed: boolean): void {
    const outcomes = this.recentOutcomes.get(vm) ?? [];
    outcomes.push({job, failed});
    if (outcomes.length > OUTCOMES_KEPT) outcomes.shift();
    this.recentOutcomes.set(vm, outcomes);
    // The suspected VM's own failures must not raise the pool's failure share, which would hide
    // them.
    if (failed && this.hasConsecutiveFailures(vm)) return;
    const failureShare = this.failureShareByPool.get(pool) ?? 0;
    const outcome = failed ? 1 : 0;
    this.failureShareByPool.set(
      pool,
      failureShare + (outcome - failureShare) * SMOOTHING_FACTOR,
    );
  }

  /** Whether the VM is at fault rather than its jobs. */
  isFaulty(pool: string, vm: string): boolean {
    if ((this.failureShareByPool.get(pool) ?? 0) > MAXIMUM_POOL_FAILURE_SHARE)
      return false;
    return this.hasConsecutiveFailures(vm);
  }

  /** Returns the faulty VMs. */
  faultyVms(poolOf: (vm: string) => string): Set<string> {
    const vms = [...this.recentOutcomes.keys()];
    return new Set(vms.filter(vm => this.isFaulty(poolOf(vm), vm)));
  }

  /** Discards the outcomes of a VM that was repaired. */
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
