const BUCKET_MILLISECONDS = 500;
/** Turns of a minute or more ago say nothing of the next one. */
const HISTORY_MILLISECONDS = 90_000;
/** A turn begins where the rate rises over so many times the mean since it was first seen. */
const ONSET_FACTOR = 1.8;
/** A quiet time before an onset: one lull within a turn is not the end of it. */
const QUIET_BUCKETS = 3;
/** Turns come again within this; a longer distance between two onsets means that one was missed. */
const LONGEST_PERIOD_MILLISECONDS = 40_000;
const SHORTEST_PERIOD_MILLISECONDS = 5_000;
/** The rate of a turn is taken from its first part. */
const BURST_BUCKETS = 6;
/** Jobs in the first part of a turn that make its beginning certain. */
const CLEAR_BURST_JOBS = 12;
/** Turns start this much early or late. */
const TOLERANCE_MILLISECONDS = 750;

class ServiceHistory {
  readonly buckets = new Map<number, number>();
  private readonly jobs = new Map<number, number>();
  first = Infinity;

  note(work: number, at: number): void {
    const bucket = Math.floor(at / BUCKET_MILLISECONDS);
    this.first = Math.min(this.first, bucket);
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + work);
    this.jobs.set(bucket, (this.jobs.get(bucket) ?? 0) + 1);
  }

  forget(before: number): void {
    for (const bucket of this.buckets.keys())
      if (bucket < before) {
        this.buckets.delete(bucket);
        this.jobs.delete(bucket);
      }
    this.first = Math.max(this.first, before);
  }

  /** Buckets in which a turn began, oldest first. */
  onsets(newest: number): number[] {
    let sum = 0;
    for (const work of this.buckets.values()) sum += work;
    const threshold = (ONSET_FACTOR * sum) / Math.max(1, newest - this.first);
    const found: number[] = [];
    let quiet = QUIET_BUCKETS;
    for (let bucket = this.first; bucket <= newest; bucket++) {
      const busy = (this.buckets.get(bucket) ?? 0) > threshold;
      if (busy && quiet >= QUIET_BUCKETS) found.push(bucket);
      quiet = busy ? 0 : quiet + 1;
    }
    return found;
  }

  /** Whether enough jobs came at `onset` to call it the beginning of a turn: a few large jobs look like one by chance. */
  isClear(onset: number): boolean {
    let count = 0;
    for (let index = 0; index < BURST_BUCKETS; index++)
      count += this.jobs.get(onset + index) ?? 0;
    return count >= CLEAR_BURST_JOBS;
  }

  /** Mean work of a bucket in the turn that began at `onset`. */
  meanFrom(onset: number): number {
    let sum = 0;
    for (let index = 0; index < BURST_BUCKETS; index++)
      sum += this.buckets.get(onset + index) ?? 0;
    return sum / BURST_BUCKETS;
  }
}

/**
 * Foresees the next turn of a queue.
 * Load: queues that ask by turns, again and again in the same order. Without it VMs are fetched when
 * a turn has begun, and its first callers wait for a move's time. Nothing is foreseen before one
 * queue has had two turns.
 */
export class BurstForecast {
  private readonly services = new Map<string, ServiceHistory>();

  /** `work`: millicores times milliseconds of a job that came at `at`. */
  note(service: string, work: number, at: number): void {
    let history = this.services.get(service);
    if (!history) this.services.set(service, (history = new ServiceHistory()));
    history.note(work, at);
  }

  /** Whether turns come at a distance that is known. */
  isKnown(now: number): boolean {
    return this.period(Math.floor(now / BUCKET_MILLISECONDS)) !== undefined;
  }

  /** Millicores that a turn of `service` will keep busy if one begins within `leadMilliseconds`; 0 if none does. */
  millicores(service: string, now: number, leadMilliseconds: number): number {
    const history = this.services.get(service);
    if (!history) return 0;
    const newest = Math.floor(now / BUCKET_MILLISECONDS);
    this.forget(newest);
    const period = this.period(newest);
    const last = history.onsets(newest).at(-1);
    if (period === undefined || last === undefined) return 0;
    const next = last * BUCKET_MILLISECONDS + period;
    const early = next - leadMilliseconds - TOLERANCE_MILLISECONDS;
    if (now < early || now > next + TOLERANCE_MILLISECONDS) return 0;
    return history.meanFrom(last) / BUCKET_MILLISECONDS;
  }

  /** Median distance between turns of one queue, over all queues. */
  private period(newest: number): number | undefined {
    const distances: number[] = [];
    for (const history of this.services.values()) {
      const onsets = history
        .onsets(newest)
        .filter(onset => history.isClear(onset));
      for (let index = 1; index < onsets.length; index++) {
        const distance =
          (onsets[index] - onsets[index - 1]) * BUCKET_MILLISECONDS;
        const plausible =
          distance >= SHORTEST_PERIOD_MILLISECONDS &&
          distance <= LONGEST_PERIOD_MILLISECONDS;
        if (plausible) distances.push(distance);
      }
    }
    distances.sort((left, right) => left - right);
    return distances[Math.floor(distances.length / 2)];
  }

  private forget(newest: number): void {
    const before = newest - HISTORY_MILLISECONDS / BUCKET_MILLISECONDS;
    for (const history of this.services.values()) history.forget(before);
  }
}
