import {
  ClaimOutcome,
  type ClaimBatch,
  type ClaimRequest,
  type ClaimReference,
} from './claim-records.js';

/**
 * Maximum writers whose last sequence is kept. A late batch of an evicted writer can only block
 * a key and never allows a second run, so this limits memory and does not affect safety.
 */
const MAXIMUM_REMEMBERED_WRITERS = 2000;

/** Maximum hand-overs kept: one for each daemon that stopped within the window of kept claims. */
const MAXIMUM_REMEMBERED_HANDOVERS = 2000;

/** Maximum length of a chain of hand-overs; a longer one is a loop caused by a faulty writer. */
const MAXIMUM_HANDOVER_CHAIN = 64;

/** The claim that holds a key. */
export interface ClaimEntry {
  readonly key: string;
  /** The only incarnation that may run the key. */
  readonly holder: string;
  readonly attempt: number;
  readonly fingerprint: string;
  /** Offset of the batch that claimed it. */
  readonly offset: number;
  /** Outcome of the request; undefined until one is recorded. */
  readonly end?: ClaimOutcome;
}

/** Result of applying one claim. */
export interface AppliedClaim {
  readonly item: ClaimRequest;
  /** The claim that holds the key after this batch. */
  readonly entry: ClaimEntry;
}

/** Result of applying one batch. */
export interface AppliedClaimBatch {
  readonly offset: number;
  readonly holder: string;
  /** Whether the batch was appended late or twice and therefore had no effect. */
  readonly stale: boolean;
  readonly appliedClaims: readonly AppliedClaim[];
  readonly released: readonly ClaimReference[];
}

/**
 * Folds the claims stream into a table of which incarnation may run which key. The first claim
 * of a key in log order holds it. Above `maximumClaims` the oldest claims in log order are
 * evicted.
 */
export class ClaimTable {
  /** Offset of the next batch to apply. */
  nextOffset = 0;
  /** Claims below this offset may have been evicted. */
  retainedFromOffset = 0;
  private readonly entries = new Map<string, ClaimEntry>();
  private readonly lastSequenceByHolder = new Map<string, number>();
  private readonly successorByHolder = new Map<string, string>();

  constructor(private readonly maximumClaims: number) {}

  /** Number of claims in the table. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the claim that holds a key; undefined if there is none or it was evicted. */
  get(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Returns the incarnation that now has the held responses of `holder`: itself or its last
   * successor.
   */
  answerHolderOf(holder: string): string {
    let current = holder;
    for (let step = 0; step < MAXIMUM_HANDOVER_CHAIN; step++) {
      const successor = this.successorByHolder.get(current);
      if (successor === undefined) return current;
      current = successor;
    }
    return current;
  }

  /** Continues at `offset` after earlier batches were deleted by the log's retention. */
  skipToOffset(offset: number): void {
    this.nextOffset = Math.max(this.nextOffset, offset);
    this.retainedFromOffset = Math.max(this.retainedFromOffset, offset);
  }

  /** Skips a payload that this version cannot decode. */
  skipUnreadable(): void {
    this.nextOffset++;
  }

  /** Applies the batch at `nextOffset`; never throws. */
  apply(batch: ClaimBatch): AppliedClaimBatch {
    const offset = this.nextOffset++;
    const {holder} = batch;
    if (!this.acceptSequence(batch))
      return {offset, holder, stale: true, appliedClaims: [], released: []};
    const released = batch.releases.filter(item => this.release(holder, item));
    for (const item of batch.outcomes)
      this.recordOutcome(holder, item, item.end);
    const appliedClaims = batch.claims.map(item => ({
      item,
      entry: this.claim(holder, item, offset),
    }));
    if (batch.heir !== '' && batch.heir !== holder)
      setBounded(
        this.successorByHolder,
        holder,
        batch.heir,
        MAXIMUM_REMEMBERED_HANDOVERS,
      );
    this.evictOldest();
    return {offset, holder, stale: false, appliedClaims, released};
  }

  // An append whose response was lost may take effect after its writer has sent later batches,
  // or twice. Applying it would claim a released key again on behalf of nobody. The writer
  // numbers every batch that it sends, so the sequence alone identifies a late or repeated one.
  private acceptSequence({holder, sequence}: ClaimBatch): boolean {
    const last = this.lastSequenceByHolder.get(holder);
    if (last !== undefined && sequence <= last) return false;
    setBounded(
      this.lastSequenceByHolder,
      holder,
      sequence,
      MAXIMUM_REMEMBERED_WRITERS,
    );
    return true;
  }

  private claim(
    holder: string,
    item: ClaimRequest,
    offset: number,
  ): ClaimEntry {
    const existing = this.entries.get(item.key);
    if (existing) return existing;
    const {key, attempt, fingerprint} = item;
    const entry = {key, holder, attempt, fingerprint, offset};
    this.entries.set(key, entry);
    return entry;
  }

  private release(holder: string, item: ClaimReference): boolean {
    const entry = this.findHeldEntry(holder, item);
    if (!entry || entry.end !== undefined) return false;
    this.entries.delete(item.key);
    return true;
  }

  private recordOutcome(
    holder: string,
    item: ClaimReference,
    end: ClaimOutcome,
  ): void {
    const entry = this.findHeldEntry(holder, item);
    // A Map keeps the position of an existing key, so the entries stay in the order of claims.
    if (entry) this.entries.set(item.key, {...entry, end});
  }

  private findHeldEntry(
    holder: string,
    item: ClaimReference,
  ): ClaimEntry | undefined {
    const entry = this.entries.get(item.key);
    if (entry?.holder !== holder || entry.attempt !== item.attempt)
      return undefined;
    return entry;
  }

  private evictOldest(): void {
    let excess = this.entries.size - this.maximumClaims;
    if (excess <= 0) return;
    for (const [key, entry] of this.entries) {
      if (excess-- <= 0) return;
      this.entries.delete(key);
      this.retainedFromOffset = Math.max(
        this.retainedFromOffset,
        entry.offset + 1,
      );
    }
  }
}

function setBounded<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
  maximumSize: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= maximumSize) return;
  const [oldest] = map.keys();
  map.delete(oldest);
}
