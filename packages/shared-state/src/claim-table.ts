import {
  ClaimOutcome,
  type ClaimBatch,
  type ClaimRequest,
  type ClaimReference,
} from './claim-records.js';

/**
 * Writers whose sequence is remembered. A batch of a forgotten writer that lands late can
 * only block a key, never let one run, so the bound is one of memory, not of safety.
 */
const MAXIMUM_REMEMBERED_WRITERS = 2000;

/** Hand-overs remembered: as many as daemons that stopped within the claims' window. */
const MAXIMUM_REMEMBERED_HANDOVERS = 2000;

/** Bound on a chain of hand-overs; more is a loop made by a faulty writer. */
const MAXIMUM_HANDOVER_CHAIN = 64;

/** A key that is taken. */
export interface ClaimEntry {
  readonly key: string;
  /** Incarnation that alone may run it. */
  readonly holder: string;
  readonly attempt: number;
  readonly fingerprint: string;
  /** Offset of the batch that claimed it. */
  readonly offset: number;
  /** Undefined while nothing is known of its end. */
  readonly end?: ClaimOutcome;
}

/** What the fold made of one claim. */
export interface AppliedClaim {
  readonly item: ClaimRequest;
  /** Who holds the key after this batch. */
  readonly entry: ClaimEntry;
}

/** What the fold made of one batch. */
export interface AppliedClaimBatch {
  readonly offset: number;
  readonly holder: string;
  /** True for a batch that landed late or twice; it had no effect. */
  readonly stale: boolean;
  readonly appliedClaims: readonly AppliedClaim[];
  readonly released: readonly ClaimReference[];
}

/**
 * Who may run which key, folded from the claims stream. The first claim of a key in log
 * order holds it. The oldest claims are forgotten, in log order, above `claimsKept`.
 */
export class ClaimTable {
  /** Offset of the next batch to apply. */
  nextOffset = 0;
  /** Claims made below this offset may be forgotten. */
  retainedFromOffset = 0;
  private readonly entries = new Map<string, ClaimEntry>();
  private readonly lastSequenceByHolder = new Map<string, number>();
  private readonly successorByHolder = new Map<string, string>();

  constructor(private readonly maximumClaims: number) {}

  /** Claims held. */
  get size(): number {
    return this.entries.size;
  }

  get(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /** Who has the held answers of an incarnation now: itself, or the end of its chain of heirs. */
  answerHolderOf(holder: string): string {
    let keeper = holder;
    for (let step = 0; step < MAXIMUM_HANDOVER_CHAIN; step++) {
      const heir = this.successorByHolder.get(keeper);
      if (heir === undefined) return keeper;
      keeper = heir;
    }
    return keeper;
  }

  /** Goes on at `offset` after batches before it were lost to retention. */
  skipToOffset(offset: number): void {
    this.nextOffset = Math.max(this.nextOffset, offset);
    this.retainedFromOffset = Math.max(this.retainedFromOffset, offset);
  }

  /** Steps over a payload that this version cannot read. */
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

  // An append whose answer was lost may land after its writer has moved on, or twice: the
  // symptom would be a released key claimed again by nobody. The writer counts every batch
  // that it sends, so what lands behind a later one is told by its number alone.
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
    const standing = this.entries.get(item.key);
    if (standing) return standing;
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
    // Setting a key anew keeps its place, so entries stay in the order of their claims.
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
  kept: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= kept) return;
  const [oldest] = map.keys();
  map.delete(oldest);
}
