import type {ClaimEnd, HeldAnswer} from '@gentiandoor/shared-state';

/** Bytes that an entry takes besides its answer, roughly. */
const ENTRY_BYTES = 200;

/** How a request ended, with its whole answer where it is still held. */
export interface HeldEnd {
  readonly end: ClaimEnd;
  readonly answer?: HeldAnswer;
}

/** Bounds of what is held. */
export interface HeldBounds {
  readonly entries: number;
  readonly bytes: number;
  /** Of one answer. */
  readonly answerBytes: number;
}

/** An end with the name of its try. */
export interface NamedEnd extends HeldEnd {
  readonly holder: string;
  readonly attempt: number;
}

/**
 * Ends and answers of finished requests, for replay. Bounded in entries and bytes, the
 * oldest go first; an answer over its own bound is left out and "already run" is said.
 */
export class HeldAnswers {
  private readonly ends = new Map<string, NamedEnd>();
  private heldBytes = 0;

  constructor(private readonly bounds: HeldBounds) {}

  get size(): number {
    return this.ends.size;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  get(holder: string, attempt: number): HeldEnd | undefined {
    return this.ends.get(nameOf(holder, attempt));
  }

  /** All ends, oldest first. */
  all(): IterableIterator<NamedEnd> {
    return this.ends.values();
  }

  put(named: NamedEnd): void {
    const {holder, attempt, end, answer} = named;
    const name = nameOf(holder, attempt);
    this.remove(name);
    const fits =
      answer !== undefined && sizeOf(answer) <= this.bounds.answerBytes;
    const kept = {holder, attempt, end, answer: fits ? answer : undefined};
    this.ends.set(name, kept);
    this.heldBytes += bytesOf(kept);
    while (this.isOver()) this.remove(this.ends.keys().next().value!);
  }

  private isOver(): boolean {
    if (this.ends.size === 0) return false;
    const {entries, bytes} = this.bounds;
    return this.ends.size > entries || this.heldBytes > bytes;
  }

  private remove(name: string): void {
    const held = this.ends.get(name);
    if (!held) return;
    this.ends.delete(name);
    this.heldBytes -= bytesOf(held);
  }
}

/** Bytes of an answer. */
export function sizeOf(answer: HeldAnswer): number {
  const text = answer.headers.reduce((sum, word) => sum + word.length, 0);
  return text + answer.body.byteLength;
}

function bytesOf({answer}: HeldEnd): number {
  return ENTRY_BYTES + (answer ? sizeOf(answer) : 0);
}

function nameOf(holder: string, attempt: number): string {
  return `${holder}/${attempt}`;
}
