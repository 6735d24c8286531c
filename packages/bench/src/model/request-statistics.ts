import {build, type Histogram} from 'hdr-histogram-js';

const LARGEST_MICROSECONDS = 600_000_000;
const DIGITS = 3;
const MICROSECONDS = 1000;

/** What one group of requests got. */
export class RequestStatistics {
  offered = 0;
  answered = 0;
  /** Answers that came when the caller had given up. */
  late = 0;
  failed = 0;
  /** Milliseconds of work in answers that were in time. */
  usefulWork = 0;
  readonly refusals = new Map<string, number>();
  readonly retries = new Map<string, number>();
  /** Microseconds from the request to its whole answer. */
  readonly latency: Histogram = histogram();
  /** Microseconds from the request to its refusal. */
  readonly refusalLatency: Histogram = histogram();

  recordLatency(milliseconds: number): void {
    this.latency.recordValue(Math.round(milliseconds * MICROSECONDS));
  }

  recordRefusal(reason: string, milliseconds: number): void {
    count(this.refusals, reason);
    this.refusalLatency.recordValue(Math.round(milliseconds * MICROSECONDS));
  }

  recordRetry(reason: string): void {
    count(this.retries, reason);
  }

  /** Milliseconds at a percentile of answered requests. */
  percentile(percent: number): number {
    return this.latency.getValueAtPercentile(percent) / MICROSECONDS;
  }

  refused(): number {
    return [...this.refusals.values()].reduce((sum, value) => sum + value, 0);
  }
}

function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LARGEST_MICROSECONDS,
    numberOfSignificantValueDigits: DIGITS,
  });
}

function count(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
