import type {ClaimOutcome, HeldAnswer} from '@gentiandoor/shared-state';

/** Approximate bytes of an entry without its answer. */
const ENTRY_OVERHEAD_BYTES = 200;

/** How a request ended, with its complete answer if that is still held. */
export interface HeldOutcome {
  readonly end: ClaimOutcome;
  readonly answer?: HeldAnswer;
}

/** Limits on held answers. */
export interface HeldAnswerLimits {
  readonly maximumEntries: number;
  readonly maximumBytes: number;
  /** Maximum size of a single answer. */
  readonly maximumAnswerBytes: number;
}

/** An outcome with the attempt it belongs to. */
export interface AttemptOutcome extends HeldOutcome {
  readonly holder: string;
  readonly attempt: number;
}

/**
 * Outcomes and answers of finished requests, for replay. Limited in entries and bytes; the
 * oldest are evicted first. An answer above the size limit is not kept: retries get "already
 * run".
 */
export class HeldAnswers {
  private readonly outcomes = new Map<string, AttemptOutcome>();
  private heldBytes = 0;

  constructor(private readonly limits: HeldAnswerLimits) {}

  get size(): number {
    return this.outcomes.size;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  get(holder: string, attempt: number): HeldOutcome | undefined {
    return this.outcomes.get(attemptKey(holder, attempt));
  }

  /** Returns all outcomes, oldest first. */
  all(): IterableIterator<AttemptOutcome> {
    return this.outcomes.values();
  }

  put(outcome: AttemptOutcome): void {
    const {holder, attempt, end, answer} = outcome;
    const key = attemptKey(holder, attempt);
    this.remove(key);
    const fits =
      answer !== undefined &&
      answerSizeBytes(answer) <= this.limits.maximumAnswerBytes;
    const entry = {holder, attempt, end, answer: fits ? answer : undefined};
    this.outcomes.set(key, entry);
    this.heldBytes += entrySizeBytes(entry);
    while (this.exceedsLimits())
      this.remove(this.outcomes.keys().next().value!);
  }

  private exceedsLimits(): boolean {
    if (this.outcomes.size === 0) return false;
    const {maximumEntries, maximumBytes} = this.limits;
    return this.outcomes.size > maximumEntries || this.heldBytes > maximumBytes;
  }

  private remove(key: string): void {
    const entry = this.outcomes.get(key);
    if (!entry) return;
    this.outcomes.delete(key);
    this.heldBytes -= entrySizeBytes(entry);
  }
}

/** Returns the size of the headers and body of an answer. */
export function answerSizeBytes(answer: HeldAnswer): number {
  const headerBytes = answer.headers.reduce(
    (sum, item) => sum + item.length,
    0,
  );
  return headerBytes + answer.body.byteLength;
}

function entrySizeBytes({answer}: HeldOutcome): number {
  return ENTRY_OVERHEAD_BYTES + (answer ? answerSizeBytes(answer) : 0);
}

function attemptKey(holder: string, attempt: number): string {
  return `${holder}/${attempt}`;
}
