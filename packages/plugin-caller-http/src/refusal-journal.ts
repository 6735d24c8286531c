import {
  SubjectKind,
  type Clock,
  type DecisionJournal,
  type ErrorKind,
  type RequestError,
} from '@gentiandoor/kernel';

/** Refusals of one kind are written down once in this time, with their number. */
const PAUSE_MILLISECONDS = 1000;
/** Services and kinds remembered; names come from callers and must not fill the memory. */
const MOST_REMEMBERED = 1000;

interface Noted {
  at: number;
  /** Refusals since the last entry. */
  count: number;
}

/**
 * Writes down why requests were refused, so that `explain service NAME` shows it. Under
 * saturation thousands are refused a second: an entry for each would push all else out.
 */
export class RefusalJournal {
  private readonly noted = new Map<string, Noted>();

  constructor(
    private readonly clock: Clock,
    private readonly decisionJournal: DecisionJournal,
  ) {}

  note(service: string, error: RequestError): void {
    const now = this.clock.monotonicMilliseconds();
    const noted = this.entryOf(service, error.kind);
    noted.count++;
    if (now - noted.at < PAUSE_MILLISECONDS) return;
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
    noted.at = now;
    noted.count = 0;
  }

  private entryOf(service: string, kind: ErrorKind): Noted {
    const key = `${kind} ${service}`;
    const known = this.noted.get(key);
    if (known) return known;
    if (this.noted.size >= MOST_REMEMBERED) this.noted.clear();
    const entry: Noted = {at: -Infinity, count: 0};
    this.noted.set(key, entry);
    return entry;
  }
}
