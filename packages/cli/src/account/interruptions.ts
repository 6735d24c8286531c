import {LogEvent} from '@gentiandoor/kernel';
import type {LogLine} from '../job-timeline.js';

/** A span of wall-clock time in milliseconds. */
export interface TimeSpan {
  readonly from: number;
  readonly until: number;
}

/** Times in which jobs could not progress, independent of the job. */
export interface Interruptions {
  /** Spans without an active coordinator, in which no runs were ordered. */
  readonly withoutCoordinator: readonly TimeSpan[];
  /** Spans in which a worker did not respond, by worker. */
  readonly silentWorkers: ReadonlyMap<string, readonly TimeSpan[]>;
}

/** Finds the interruptions in the log lines of all daemons; the lines are ordered oldest first. */
export function findInterruptions(lines: readonly LogLine[]): Interruptions {
  return {
    withoutCoordinator: spansWithoutCoordinator(lines),
    silentWorkers: spansOfSilence(lines),
  };
}

/** Returns the milliseconds of `span` covered by `others`, which must not overlap each other. */
export function overlapMilliseconds(
  span: TimeSpan,
  others: readonly TimeSpan[],
): number {
  return others.reduce((sum, other) => {
    const from = Math.max(span.from, other.from);
    const until = Math.min(span.until, other.until);
    return sum + Math.max(0, until - from);
  }, 0);
}

/** Returns the spans from the last order of one coordinator to the end of the next one's recovery. */
function spansWithoutCoordinator(lines: readonly LogLine[]): TimeSpan[] {
  const spans: TimeSpan[] = [];
  let lastOrderAt: number | undefined;
  let from: number | undefined;
  for (const {event, time} of lines) {
    if (event === LogEvent.RunOrdered) lastOrderAt = time;
    if (event === LogEvent.TermTaken) from ??= lastOrderAt;
    if (event === LogEvent.RecoveryFinished && from !== undefined) {
      spans.push({from, until: time});
      from = undefined;
    }
  }
  return spans;
}

const SILENCE_END_EVENTS: ReadonlySet<LogEvent> = new Set([
  LogEvent.WorkerBack,
  LogEvent.WorkerLeft,
  LogEvent.WorkerLeaseOver,
]);

function spansOfSilence(lines: readonly LogLine[]): Map<string, TimeSpan[]> {
  const spans = new Map<string, TimeSpan[]>();
  const silentFrom = new Map<string, number>();
  for (const {event, time, fields} of lines) {
    // A new coordinator determines by itself which workers respond.
    if (event === LogEvent.TermTaken) silentFrom.clear();
    const worker = String(fields.worker);
    const from = silentFrom.get(worker);
    if (event === LogEvent.WorkerSilent) silentFrom.set(worker, from ?? time);
    if (!SILENCE_END_EVENTS.has(event) || from === undefined) continue;
    silentFrom.delete(worker);
    spans.set(worker, [...(spans.get(worker) ?? []), {from, until: time}]);
  }
  return spans;
}
