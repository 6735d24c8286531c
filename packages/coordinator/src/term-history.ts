import type {Clock} from '@gentiandoor/kernel';

/** A term and how long ago it began, as stored with a later one. */
export type TermAge = readonly [term: number, milliseconds: number];

/** Terms that began earlier than this are left out of the records. */
const KEPT_MILLISECONDS = 60_000;
const MAXIMUM_TERMS = 20;

/**
 * Remembers when the latest terms began. Each holder stores their ages with its own term, so that a
 * daemon that started later knows them too; the times that it derives are never too early, since an
 * age is read after it was written.
 */
export class TermHistory {
  private readonly startedAt = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that a term began at `at` or before. */
  note(term: number, at: number): void {
    const known = this.startedAt.get(term) ?? Infinity;
    this.startedAt.set(term, Math.min(known, at));
    const oldest = Math.min(...this.startedAt.keys());
    if (this.startedAt.size > MAXIMUM_TERMS) this.startedAt.delete(oldest);
  }

  /** Records the ages of terms, read from a record that was written at `now` or before. */
  noteAges(ages: readonly TermAge[], now: number): void {
    for (const [term, milliseconds] of ages)
      this.note(term, now - milliseconds);
  }

  /** Returns the ages to be stored with a record of `term`, which may be about to begin. */
  agesAt(term: number): TermAge[] {
    const now = this.clock.monotonicMilliseconds();
    return [...new Map([[term, now], ...this.startedAt])]
      .map(([term, at]): TermAge => [term, Math.floor(now - at)])
      .filter(([, milliseconds]) => milliseconds < KEPT_MILLISECONDS);
  }

  /** Returns a time at which a term was over, because a later one had begun. */
  endOf(term: number): number {
    const later = [...this.startedAt].filter(([other]) => other > term);
    return later.length > 0
      ? Math.min(...later.map(([, at]) => at))
      : this.clock.monotonicMilliseconds();
  }
}

/** Returns the ages in a stored value; none where it is missing or unreadable. */
export function readTermAges(value: unknown): readonly TermAge[] {
  return Array.isArray(value) ? value.filter(isTermAge) : [];
}

function isTermAge(value: unknown): value is TermAge {
  return (
    Array.isArray(value) &&
    Number.isSafeInteger(value[0]) &&
    Number.isFinite(value[1]) &&
    value[1] >= 0
  );
}
