import {
  SubjectKind,
  type Clock,
  type DecisionJournal,
  type ErrorKind,
  type RequestError,
} from '@gentiandoor/kernel';

/** Refusals of one service and kind are recorded at most once per interval, with their count. */
const RECORD_INTERVAL_MILLISECONDS = 1000;
/** Maximum pairs of service and kind; names come from callers and must not fill the memory. */
const MAXIMUM_COUNTERS = 1000;

interface RefusalCounter {
  lastRecordedAt: number;
  /** Refusals since the last entry. */
  count: number;
}

/**
 * Records why requests were refused, so that `explain service NAME` shows it. Under saturation
 * thousands are refused per second: an entry for each would evict all other decisions.
 */
export class RefusalJournal {
  private readonly counters = new Map<string, RefusalCounter>();

  constructor(
    private readonly clock: Clock,
    private readonly decisionJournal: DecisionJournal,
  ) {}

  record(service: string, error: RequestError): void {
    const now = this.clock.monotonicMilliseconds();
    const counter = this.counterOf(service, error.kind);
    counter.count++;
    if (now - counter.lastRecordedAt < RECORD_INTERVAL_MILLISECONDS) return;
    this.decisionJournal.record({
      subject: SubjectKind.Service,
      id: service,
      decision: `refused ${counter.count} requests with ${error.kind}`,
      rule: 'the table of error kinds (docs/errors.md)',
      cause: error.message,
      evidence: {
        run: error.run,
        retryAfterSeconds: error.retryAfterSeconds ?? 'none',
      },
    });
    counter.lastRecordedAt = now;
    counter.count = 0;
  }

  private counterOf(service: string, kind: ErrorKind): RefusalCounter {
    const key = `${kind} ${service}`;
    const existing = this.counters.get(key);
    if (existing) return existing;
    if (this.counters.size >= MAXIMUM_COUNTERS) this.counters.clear();
    const counter: RefusalCounter = {lastRecordedAt: -Infinity, count: 0};
    this.counters.set(key, counter);
    return counter;
  }
}
