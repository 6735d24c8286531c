import type {HeldAnswer} from '@gentiandoor/shared-state';

/** Copies a response as it is sent to the caller, as long as it is small enough to hold. */
export class HeldAnswerRecorder {
  private status = 0;
  private headers: readonly string[] = [];
  private readonly chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly maximumBytes: number) {}

  recordHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = [...headers];
  }

  recordData(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= this.maximumBytes) this.chunks.push(chunk);
    else this.chunks.length = 0;
  }

  /** The complete response; undefined when it was too large. Valid only after its end. */
  get answer(): HeldAnswer | undefined {
    if (this.status === 0 || this.size > this.maximumBytes) return undefined;
    const body = Buffer.concat(this.chunks);
    return {status: this.status, headers: this.headers, body};
  }
}
