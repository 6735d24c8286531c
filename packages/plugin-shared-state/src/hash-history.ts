const MAXIMUM_OFFSETS = 4096;

/** State hashes at recent offsets, for comparison with peers that are ahead or behind. */
export class HashHistory {
  private readonly hashes = new Map<number, string>();

  /** Records the hash of the state whose next offset is `offset`. */
  add(offset: number, hash: string): void {
    this.hashes.set(offset, hash);
    if (this.hashes.size <= MAXIMUM_OFFSETS) return;
    const [oldest] = this.hashes.keys();
    this.hashes.delete(oldest);
  }

  hashAt(offset: number): string | undefined {
    return this.hashes.get(offset);
  }

  clear(): void {
    this.hashes.clear();
  }
}
