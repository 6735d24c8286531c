import type {ClaimOutcome, HeldAnswer} from '@gentiandoor/shared-state';

/** Bytes that an entry takes besides its answer, roughly. */
const ENTRY_OVERHEAD_BYTES = 200;

/** How a request ended, with its whole answer where it is still held. */
export interface HeldOutcome {
  readonly end: ClaimOutcome;
  readonly answer?: HeldAnswer;
}

/** Bounds of what is held. */
export interface HeldAnswerLimits {
  readonly maximumEntries: number;
  readonly maximumBytes: number;
  /** Of one answer. */
  readonly maximumAnswerBytes: number;
}

/** An end with the name of its try. */
export interface AttemptOutcome extends HeldOutcome {
  readonly holder: string;
  readonly attempt: number;
}

/**
 * Ends and answers of finished requests, for replay. Bounded in entries and bytes, the
 * oldest go first; an answer over its own bound is left out and "already run" is said.
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

  /** All ends, oldest first. */
  all(): IterableIterator<AttemptOutcome> {
    return this.outcomes.values();
  }

  put(named: AttemptOutcome): void {
    const {holder, attempt, end, answer} = named;
    const name = attemptKey(holder, attempt);
    this.remove(name);
    const fits =
      answer !== undefined &&
      answerSizeBytes(answer) <= this.limits.maximumAnswerBytes;
    const kept = {holder, attempt, end, answer: fits ? answer : undefined};
    this.outcomes.set(name, kept);
    this.heldBytes += entrySizeBytes(kept);
    while (this.exceedsLimits())
      this.remove(this.outcomes.keys().next().value!);
  }

  private exceedsLimits(): boolean {
    if (this.outcomes.size === 0) return false;
    const {maximumEntries: entries, maximumBytes: bytes} = this.limits;
    return this.outcomes.size > entries || this.heldBytes > bytes;
  }

  private remove(name: string): void {
    const held = this.outcomes.get(name);
    if (!held) return;
    this.outcomes.delete(name);
    this.heldBytes -= entrySizeBytes(held);
  }
}

/** Bytes of an answer. */
export function answerSizeBytes(answer: HeldAnswer): number {
  const text = answer.headers.reduce((sum, word) => sum + word.length, 0);
  return text + answer.body.byteLength;
}

function entrySizeBytes({answer}: HeldOutcome): number {
  return ENTRY_OVERHEAD_BYTES + (answer ? answerSizeBytes(answer) : 0);
}

function attemptKey(holder: string, attempt: number): string {
  return `${holder}/${attempt}`;
}
