import type {Clock} from './clock.js';

/** Kinds of subjects that decisions are recorded for. */
export enum SubjectKind {
  Vm = 'vm',
  Pool = 'pool',
  Service = 'service',
  Job = 'job',
  Wave = 'wave',
  Request = 'request',
  Bundle = 'bundle',
  Daemon = 'daemon',
}

/** An alternative that was considered and rejected. */
export interface RejectedAlternative {
  readonly choice: string;
  readonly because: string;
}

/** A decision of the system, with its cause and evidence. */
export interface Decision {
  readonly subject: SubjectKind;
  readonly id: string;
  /** The decision, in one sentence. */
  readonly decision: string;
  /** Name of the rule that made the decision. */
  readonly rule: string;
  /** What made the decision necessary. */
  readonly cause: string;
  /** Facts that the rule evaluated. */
  readonly evidence: Readonly<Record<string, string | number | boolean>>;
  readonly turnedDown?: readonly RejectedAlternative[];
}

/** A decision with the time at which it was recorded. */
export interface JournalEntry extends Decision {
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

const DEFAULT_CAPACITY = 5000;
const DEFAULT_ENTRIES_PER_SUBJECT = 50;

/** Keeps recent decisions for `explain`, within a memory bound; evicts the oldest first. */
export class DecisionJournal {
  private readonly entriesBySubject = new Map<string, JournalEntry[]>();
  private size = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity = DEFAULT_CAPACITY,
    private readonly entriesPerSubject = DEFAULT_ENTRIES_PER_SUBJECT,
  ) {}

  record(decision: Decision): void {
    const key = subjectKey(decision.subject, decision.id);
    const entries = this.entriesBySubject.get(key) ?? [];
    // Reinserting the entry keeps the map ordered by latest decision, so that the least recently
    // updated subject is evicted first.
    this.entriesBySubject.delete(key);
    this.entriesBySubject.set(key, entries);
    entries.push({...decision, at: this.clock.wallMilliseconds()});
    this.size++;
    if (entries.length > this.entriesPerSubject) {
      entries.shift();
      this.size--;
    }
    this.evict();
  }

  /** Returns the decisions about one subject, oldest first. */
  entriesAbout(subject: SubjectKind, id: string): readonly JournalEntry[] {
    return this.entriesBySubject.get(subjectKey(subject, id)) ?? [];
  }

  private evict(): void {
    while (this.size > this.capacity) {
      const [stalest] = this.entriesBySubject;
      if (!stalest) return;
      const [key, entries] = stalest;
      this.entriesBySubject.delete(key);
      this.size -= entries.length;
    }
  }
}

function subjectKey(subject: SubjectKind, id: string): string {
  return `${subject}/${id}`;
}
