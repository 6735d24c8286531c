import {
  SubjectKind,
  type Clock,
  type DecisionJournal,
  type ErrorKind,
  type RequestError,
} from '@gentiandoor/kernel';

/** Refusals of one kind are written down once in this time, with their number. */
const RECORD_INTERVAL_MILLISECONDS = 1000;
/** Services and kinds remembered; names come from callers and must not fill the memory. */
const MAXIMUM_COUNTERS = 1000;

interface RefusalCounter {
  lastRecordedAt: number;
  /** Refusals since the last entry. */
  count: number;
}

/**
 * Writes down why requests were refused, so that `explain service NAME` shows it. Under
 * saturation thousands are refused a second: an entry for each would push all else out.
 */
export class RefusalJournal {
  private readonly counters = new Map<string, RefusalCounter>();

  constructor(
    private readonly clock: Clock,
    private readonly decisionJournal: DecisionJournal,
  ) {}

  record(service: string, error: RequestError): void {
    const now = this.clock.monotonicMilliseconds();
    const noted = this.counterOf(service, error.kind);
    noted.count++;
    if (now - noted.lastRecordedAt < RECORD_INTERVAL_MILLISECONDS) return;
    this.decisionJournal.record({
      subject: SubjectKind.Service,
      id: service,
      decision: `refused ${noted.count} requests with ${error.kind}`,
      rule: 'the table of error kinds (docs/errors.md)',
      cause: error.message,
      evidence: {
        run: error.run,
        retryAfterSeconds: error.retryAfterSeconds ?? 'none',
      },
    });
    noted.lastRecordedAt = now;
    noted.count = 0;
  }

  private counterOf(service: string, kind: ErrorKind): RefusalCounter {
    const key = `${kind} ${service}`;
    const known = this.counters.get(key);
    if (known) return known;
    if (this.counters.size >= MAXIMUM_COUNTERS) this.counters.clear();
    const entry: RefusalCounter = {lastRecordedAt: -Infinity, count: 0};
    this.counters.set(key, entry);
    return entry;
  }
}
