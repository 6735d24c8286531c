import {build, type Histogram} from 'hdr-histogram-js';

const LARGEST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;
const MICROSECONDS = 1000;

/** Outcome counts and latencies of a group of requests. */
export class RequestStatistics {
  offered = 0;
  answered = 0;
  /** Responses that arrived after the caller had given up. */
  late = 0;
  failed = 0;
  /** Milliseconds of work in responses that arrived in time. */
  usefulWork = 0;
  readonly refusals = new Map<string, number>();
  readonly retries = new Map<string, number>();
  /** Microseconds from a request to its complete response. */
  readonly latency: Histogram = createHistogram();
  /** Microseconds from a request to its refusal. */
  readonly refusalLatency: Histogram = createHistogram();

  recordLatency(milliseconds: number): void {
    this.latency.recordValue(Math.round(milliseconds * MICROSECONDS));
  }

  recordRefusal(reason: string, milliseconds: number): void {
    increment(this.refusals, reason);
    this.refusalLatency.recordValue(Math.round(milliseconds * MICROSECONDS));
  }

  recordRetry(reason: string): void {
    increment(this.retries, reason);
  }

  /** Returns a percentile of the latency of answered requests in milliseconds. */
  percentile(percent: number): number {
    return this.latency.getValueAtPercentile(percent) / MICROSECONDS;
  }

  refused(): number {
    return [...this.refusals.values()].reduce((sum, value) => sum + value, 0);
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LARGEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
