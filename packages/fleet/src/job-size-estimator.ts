import type {Job, JobSize, TaskSize} from '@gentiandoor/shared-state';

/** Share by which an estimate falls towards a lower use; it rises to a higher one at once. */
const DECREASE_FACTOR = 0.2;
/** Room above what was seen: usage lags, so a peak may be missed. */
const HEADROOM = 1.15;
/** Until this many reports of a class, the declared size counts as well. */
const MINIMUM_REPORTS = 3;

interface Estimate {
  processors: number;
  memoryGigabytes: number;
  reports: number;
}

/**
 * Learns what jobs of one class take from their usage. Answers declared sizes that are far
 * from the truth: believed, they leave half the fleet idle or overload a VM. Rises at once
 * and falls slowly, because too low an estimate hurts every job on the VM and too high a one
 * only waits. Accelerators and slots cannot be shared, so the declared ones stand.
 */
export class JobSizeEstimator {
  private readonly estimates = new Map<string, Estimate>();

  /** Takes in the usage of one task of a class. */
  observe(jobClass: string, usage: TaskSize): void {
    const known = this.estimates.get(jobClass);
    if (!known) {
      const {processors, memoryGigabytes} = usage;
      this.estimates.set(jobClass, {processors, memoryGigabytes, reports: 1});
      return;
    }
    known.processors = updatedEstimate(known.processors, usage.processors);
    known.memoryGigabytes = updatedEstimate(
      known.memoryGigabytes,
      usage.memoryGigabytes,
    );
    known.reports++;
  }

  /** What a job is taken to need on a VM of the given size. */
  sizeOf(job: Job, limit: TaskSize): JobSize {
    const known = this.estimates.get(job.jobClass);
    if (!known || known.reports < MINIMUM_REPORTS) return job.size;
    return {
      ...job.size,
      processors: Math.min(known.processors * HEADROOM, limit.processors),
      memoryGigabytes: Math.min(
        known.memoryGigabytes * HEADROOM,
        limit.memoryGigabytes,
      ),
    };
  }
}

function updatedEstimate(estimate: number, seen: number): number {
  return seen >= estimate
    ? seen
    : estimate + (seen - estimate) * DECREASE_FACTOR;
}
