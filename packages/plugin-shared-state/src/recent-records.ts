/** Limits on the records kept for peers that cannot reach the log. */
const MAXIMUM_BYTES = 8_000_000;
const MAXIMUM_RECORDS = 10_000;

/** The most recently applied records by offset, limited in number and bytes. */
export class RecentRecords {
  private firstOffset = 0;
  private payloads: Uint8Array[] = [];
  private bytes = 0;

  /**
   * Adds the record at `offset`; discards the kept records if it does not directly follow
   * them.
   */
  add(offset: number, payload: Uint8Array): void {
    if (offset !== this.firstOffset + this.payloads.length) this.reset(offset);
    this.payloads.push(payload);
    this.bytes += payload.length;
    while (
      this.payloads.length > 1 &&
      (this.bytes > MAXIMUM_BYTES || this.payloads.length > MAXIMUM_RECORDS)
    )
      this.dropOldest();
  }

  /**
   * Returns records from `offset` on, up to `maximumBytes` but at least one if there is any;
   * undefined when they are no longer kept.
   */
  readFrom(offset: number, maximumBytes: number): Uint8Array[] | undefined {
    const start = offset - this.firstOffset;
    if (start < 0 || start > this.payloads.length) return undefined;
    const result: Uint8Array[] = [];
    let bytes = 0;
    for (let index = start; index < this.payloads.length; index++) {
      bytes += this.payloads[index].length;
      if (result.length > 0 && bytes > maximumBytes) break;
      result.push(this.payloads[index]);
    }
    return result;
  }

  reset(offset: number): void {
    this.firstOffset = offset;
    this.payloads = [];
    this.bytes = 0;
  }

  private dropOldest(): void {
    const payload = this.payloads.shift();
    this.bytes -= payload?.length ?? 0;
    this.firstOffset++;
  }
}
