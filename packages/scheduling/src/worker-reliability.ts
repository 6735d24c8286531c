/** Failure score at which a worker becomes a suspect; each job adds at most 1. */
const SUSPICION_THRESHOLD = 2.5;
/** Time for which a suspect worker gets one task at a time. */
const SUSPICION_MILLISECONDS = 4_000;
/** Half-life of the failure score. */
const HALF_LIFE_MILLISECONDS = 4_000;
/** Factor applied to the failure score after a successful run. */
const KEPT_ON_SUCCESS = 0.5;
/**
 * Once a job has failed on this many workers, its failures are attributed to the job.
 */
const WORKERS_FOR_BAD_JOB = 2;

interface WorkerRecord {
  failureScore: number;
  failureScoreAt: number;
  suspectUntil: number;
  /** Jobs whose failures count in the score. */
  readonly jobs: Set<string>;
}

/**
 * Distinguishes faulty workers from faulty jobs.
 * Load: a worker that fails every task that it starts looks idle and attracts all work;
 * at the same time, some jobs fail wherever they run. Without it, jobs use up their
 * attempts on the worker. A job's first failure counts against its worker; once the job
 * has failed on a second worker, that is retracted.
 */
export class WorkerReliability {
  private readonly workers = new Map<string, WorkerRecord>();
  private readonly failedOn = new Map<string, Set<string>>();

  /** Records a successful run, which lowers the failure score and ends suspicion. */
  recordSuccess(worker: string): void {
    const record = this.workers.get(worker);
    if (!record) return;
    record.failureScore *= KEPT_ON_SUCCESS;
    record.suspectUntil = -Infinity;
    record.jobs.clear();
  }

  /** Records a failed run; returns true if this makes the worker a suspect. */
  recordFailure(worker: string, job: string, now: number): boolean {
    const workers = this.workersOf(job);
    workers.add(worker);
    if (workers.size >= WORKERS_FOR_BAD_JOB) {
      for (const other of workers) this.retractFailure(other, job);
      return false;
    }
    const record = this.recordOf(worker);
    if (record.jobs.has(job)) return false;
    record.jobs.add(job);
    record.failureScore = decayedFailureScore(record, now) + 1;
    record.failureScoreAt = now;
    return (
      record.failureScore >= SUSPICION_THRESHOLD &&
      this.markSuspect(worker, now)
    );
  }

  /** Marks a worker as suspect whatever the job; returns false if it already is one. */
  markSuspect(worker: string, now: number): boolean {
    const record = this.recordOf(worker);
    const isNew = now >= record.suspectUntil;
    record.suspectUntil = now + SUSPICION_MILLISECONDS;
    return isNew;
  }

  /** Returns the reliability of a worker in [0, 1]; 0 for a suspect. */
  score(worker: string, now: number): number {
    const record = this.workers.get(worker);
    if (!record) return 1;
    if (now < record.suspectUntil) return 0;
    const maximum = 2 * SUSPICION_THRESHOLD;
    return (
      1 - Math.min(decayedFailureScore(record, now), maximum - 1) / maximum
    );
  }

  forgetWorker(worker: string): void {
    this.workers.delete(worker);
  }

  forgetJob(job: string): void {
    this.failedOn.delete(job);
  }

  private retractFailure(worker: string, job: string): void {
    const record = this.workers.get(worker);
    if (!record?.jobs.delete(job)) return;
    record.failureScore = Math.max(0, record.failureScore - 1);
    if (record.failureScore < SUSPICION_THRESHOLD)
      record.suspectUntil = -Infinity;
  }

  private workersOf(job: string): Set<string> {
    let workers = this.failedOn.get(job);
    if (!workers) this.failedOn.set(job, (workers = new Set()));
    return workers;
  }

  private recordOf(worker: string): WorkerRecord {
    let record = this.workers.get(worker);
    if (!record) {
      record = {
        failureScore: 0,
        failureScoreAt: -Infinity,
        suspectUntil: -Infinity,
        jobs: new Set(),
      };
      this.workers.set(worker, record);
    }
    return record;
  }
}

function decayedFailureScore(record: WorkerRecord, now: number): number {
  if (record.failureScore === 0) return 0;
  const halfLives = (now - record.failureScoreAt) / HALF_LIFE_MILLISECONDS;
  return record.failureScore * 2 ** -halfLives;
}
