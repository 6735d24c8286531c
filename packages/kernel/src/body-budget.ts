/** Part of a budget that one body uses. */
export interface BodyCharge {
  /** Raises the charge to `bytes`; returns false if the budget does not hold them. */
  grow(bytes: number): boolean;
  /** Marks the body as complete: it is not given up for others any more. */
  complete(): void;
  release(): void;
}

interface OpenCharge {
  bytes: number;
  readonly giveUp: () => void;
}

/**
 * Bounds the memory of all bodies that are received or worked on. Bodies that stay incomplete must
 * not keep others out, so the oldest of them are given up for newer ones.
 */
export class BodyBudget {
  private readonly incomplete = new Set<OpenCharge>();
  private usedBytes = 0;
  private incompleteBytes = 0;

  constructor(private readonly capacityBytes: number) {}

  /** Adds a body of no bytes; `giveUp` is called if others need its part of the budget. */
  open(giveUp: () => void): BodyCharge {
    const charge: OpenCharge = {bytes: 0, giveUp};
    this.incomplete.add(charge);
    return {
      grow: bytes => this.grow(charge, bytes),
      complete: () => this.settle(charge),
      release: () => this.release(charge),
    };
  }

  private grow(charge: OpenCharge, bytes: number): boolean {
    const added = bytes - charge.bytes;
    if (added <= 0) return true;
    const others = this.incompleteBytes - charge.bytes;
    if (this.usedBytes - others + added > this.capacityBytes) return false;
    for (const other of this.incomplete) {
      if (this.usedBytes + added <= this.capacityBytes) break;
      if (other === charge) continue;
      this.release(other);
      other.giveUp();
    }
    this.usedBytes += added;
    this.incompleteBytes += added;
    charge.bytes = bytes;
    return true;
  }

  private settle(charge: OpenCharge): void {
    if (this.incomplete.delete(charge)) this.incompleteBytes -= charge.bytes;
  }

  private release(charge: OpenCharge): void {
    this.settle(charge);
    this.usedBytes -= charge.bytes;
    charge.bytes = 0;
  }
}
