import type {BodyCharge} from './body-budget.js';

/** What became of the bytes that were added to a body. */
export enum CollectOutcome {
  Added = 'added',
  /** The body is longer than it may be. */
  TooLarge = 'too_large',
  /** The budget of all bodies does not hold it. */
  OverBudget = 'over_budget',
}

const FIRST_BYTES = 4_096;
/** Charged for each piece, as a body in very small ones costs more than its bytes. */
const PIECE_BYTES = 32;

/** Collects a body in one buffer that grows with what has arrived, not with what is announced. */
export class BodyCollector {
  private buffer = Buffer.alloc(0);
  private length = 0;
  private pieces = 0;

  constructor(
    private readonly maximumBytes: number,
    private readonly charge: BodyCharge,
  ) {}

  get bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  add(piece: Buffer): CollectOutcome {
    const length = this.length + piece.length;
    if (length > this.maximumBytes) return CollectOutcome.TooLarge;
    this.pieces++;
    const capacity = this.capacityFor(length);
    if (!this.charge.grow(capacity + this.pieces * PIECE_BYTES))
      return CollectOutcome.OverBudget;
    this.resize(capacity);
    piece.copy(this.buffer, this.length);
    this.length = length;
    return CollectOutcome.Added;
  }

  private capacityFor(length: number): number {
    if (length <= this.buffer.length) return this.buffer.length;
    const doubled = Math.max(FIRST_BYTES, 2 * this.buffer.length);
    return Math.max(length, Math.min(doubled, this.maximumBytes));
  }

  private resize(capacity: number): void {
    if (capacity === this.buffer.length) return;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.bytes.copy(grown);
    this.buffer = grown;
  }
}
