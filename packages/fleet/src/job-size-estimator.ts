import type {Job, JobSize, TaskSize} from '@gentiandoor/shared-state';

/**
 * Smoothing factor by which an estimate decreases towards lower usage; it increases to higher usage
 * at once.
 */
const DECREASE_FACTOR = 0.2;
/** Margin above the observed usage: usage lags, so a peak may be missed. */
const HEADROOM = 1.15;
/** With fewer reports of a class than this, the declared size is used. */
const MINIMUM_REPORTS = 3;

interface Estimate {
  processors: number;
  memoryGigabytes: number;
  reports: number;
}

/**
 * Estimates what jobs of one class need from their observed usage.
 * Load: declared sizes that are far from the truth. Relying on them leaves half of the fleet idle
 * or overloads a VM. The estimate rises at once and falls slowly, because too low an estimate hurts
 * every job on the VM, whereas too high an estimate only delays jobs. Accelerators and slots cannot
 * be shared, so their declared values are used.
 */
export class JobSizeEstimator {
  private readonly estimates = new Map<string, Estimate>();

  /** Records the usage of one task of a class. */
  observe(jobClass: string, usage: TaskSize): void {
    const existing = this.estimates.get(jobClass);
    if (!existing) {
      const {processors, memoryGigabytes} = usage;
      this.estimates.set(jobClass, {processors, memoryGigabytes, reports: 1});
      return;
    }
    existing.processors = updatedEstimate(
      existing.processors,
      usage.processors,
    );
    existing.memoryGigabytes = updatedEstimate(
      existing.memoryGigabytes,
      usage.memoryGigabytes,
    );
    existing.reports++;
  }

  /** Returns the size assumed for a job on a VM of the given size. */
  sizeOf(job: Job, limit: TaskSize): JobSize {
    const existing = this.estimates.get(job.jobClass);
    if (!existing || existing.reports < MINIMUM_REPORTS) return job.size;
    return {
      ...job.size,
      processors: Math.min(existing.processors * HEADROOM, limit.processors),
      memoryGigabytes: Math.min(
        existing.memoryGigabytes * HEADROOM,
        limit.memoryGigabytes,
      ),
    };
  }
}

function updatedEstimate(estimate: number, usage: number): number {
  return usage >= estimate
    ? usage
    : estimate + (usage - estimate) * DECREASE_FACTOR;
}
