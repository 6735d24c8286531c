/** Failure score at which a worker becomes suspect; each job adds at most one. */
const BLAME_FOR_SUSPICION = 2.5;
/** Time for which a suspect worker takes one task at a time. */
const SUSPICION_MILLISECONDS = 4_000;
/** Half-life of the failure score. */
const HALF_LIFE_MILLISECONDS = 4_000;
/** Factor applied to the failure score after a successful run. */
const KEPT_ON_SUCCESS = 0.5;
/** Failures of a job on this many workers are attributed to the job. */
const WORKERS_FOR_BAD_JOB = 2;

interface WorkerRecord {
  blame: number;
  blamedAt: number;
  suspectUntil: number;
  /** Jobs for which it was blamed. */
  readonly jobs: Set<string>;
}

/**
 * Tells bad workers from bad jobs.
 * Load: a worker that fails all that it starts looks idle and draws all work; and beside it jobs
 * that fail wherever they run. Without it jobs use up their attempts on the worker. A job's first
 * failure is blamed on its worker; once the job has failed on a second one, the blame is taken back.
 */
export class WorkerTrust {
  private readonly workers = new Map<string, WorkerRecord>();
  private readonly failedOn = new Map<string, Set<string>>();

  noteSuccess(worker: string): void {
    const record = this.workers.get(worker);
    if (!record) return;
    record.blame *= KEPT_ON_SUCCESS;
    record.suspectUntil = -Infinity;
    record.jobs.clear();
  }

  /** Returns true when this makes the worker a suspect. */
  noteFailure(worker: string, job: string, now: number): boolean {
    const workers = this.workersOf(job);
    workers.add(worker);
    if (workers.size >= WORKERS_FOR_BAD_JOB) {
      for (const other of workers) this.takeBack(other, job);
      return false;
    }
    const record = this.recordOf(worker);
    if (record.jobs.has(job)) return false;
    record.jobs.add(job);
    record.blame = blameAt(record, now) + 1;
    record.blamedAt = now;
    return record.blame >= BLAME_FOR_SUSPICION && this.suspect(worker, now);
  }

  /** The worker itself is to blame, whatever the job; returns false when it is a suspect already. */
  suspect(worker: string, now: number): boolean {
    const record = this.recordOf(worker);
    const isNew = now >= record.suspectUntil;
    record.suspectUntil = now + SUSPICION_MILLISECONDS;
    return isNew;
  }

  /** Share of trust in [0, 1]; 0 for a suspect. */
  level(worker: string, now: number): number {
    const record = this.workers.get(worker);
    if (!record) return 1;
    if (now < record.suspectUntil) return 0;
    const most = 2 * BLAME_FOR_SUSPICION;
    return 1 - Math.min(blameAt(record, now), most - 1) / most;
  }

  forgetWorker(worker: string): void {
    this.workers.delete(worker);
  }

  forgetJob(job: string): void {
    this.failedOn.delete(job);
  }

  private takeBack(worker: string, job: string): void {
    const record = this.workers.get(worker);
    if (!record?.jobs.delete(job)) return;
    record.blame = Math.max(0, record.blame - 1);
    if (record.blame < BLAME_FOR_SUSPICION) record.suspectUntil = -Infinity;
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
        blame: 0,
        blamedAt: -Infinity,
        suspectUntil: -Infinity,
        jobs: new Set(),
      };
      this.workers.set(worker, record);
    }
    return record;
  }
}

function blameAt(record: WorkerRecord, now: number): number {
  if (record.blame === 0) return 0;
  const halves = (now - record.blamedAt) / HALF_LIFE_MILLISECONDS;
  return record.blame * 2 ** -halves;
}
