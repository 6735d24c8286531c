/** Outcomes remembered of one VM. */
const REMEMBERED = 10;
/** Distinct jobs that must have failed on a VM in a row. */
const DISTINCT_JOBS = 3;
/** With more failures than this on the other VMs, the fault is the jobs' or a shared one. */
const SHARE_ELSEWHERE = 0.3;
/** Weight of the newest outcome in the pool's share of failures. */
const NEWEST = 0.05;

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
export class WorkerFailures {
  private readonly recent = new Map<string, Outcome[]>();
  private readonly shareByPool = new Map<string, number>();

  observe(pool: string, vm: string, job: string, failed: boolean): void {
    const list = this.recent.get(vm) ?? [];
    list.push({job, failed});
    if (list.length > REMEMBERED) list.shift();
    this.recent.set(vm, list);
    // The suspected VM's own failures must not hide it behind the pool's average.
    if (failed && this.failsInARow(vm)) return;
    const share = this.shareByPool.get(pool) ?? 0;
    const outcome = failed ? 1 : 0;
    this.shareByPool.set(pool, share + (outcome - share) * NEWEST);
  }

  /** Whether the VM, and not its jobs, is at fault. */
  isSuspect(pool: string, vm: string): boolean {
    if ((this.shareByPool.get(pool) ?? 0) > SHARE_ELSEWHERE) return false;
    return this.failsInARow(vm);
  }

  /** VMs at fault. */
  suspects(poolOf: (vm: string) => string): Set<string> {
    const vms = [...this.recent.keys()];
    return new Set(vms.filter(vm => this.isSuspect(poolOf(vm), vm)));
  }

  /** Forgets a VM that was repaired. */
  forget(vm: string): void {
    this.recent.delete(vm);
  }

  private failsInARow(vm: string): boolean {
    const jobs = new Set<string>();
    for (const {job, failed} of (this.recent.get(vm) ?? []).toReversed()) {
      if (!failed) break;
      jobs.add(job);
    }
    return jobs.size >= DISTINCT_JOBS;
  }
}
