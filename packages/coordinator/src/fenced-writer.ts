import {sleep, type Clock} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {AppendOutcome, type LogStream, type RecordLog} from './record-log.js';

/** Dependencies and identity of a fenced writer. */
export interface FencedWriterParts {
  readonly log: RecordLog;
  readonly clock: Clock;
  readonly stream: LogStream;
  /** Name that only this writer and those of other terms use in the stream. */
  readonly name: string;
  readonly term: number;
  readonly retryMilliseconds: number;
  /** Called once when the store reports that a later term has written. */
  readonly onFenced: () => void;
}

/**
 * Appends to a stream under the coordinator's term, until it is closed or a later term has written.
 * An append without a response is repeated unchanged until its outcome is known, so that the store
 * can't execute it after a newer one. Callers wait for one append before they begin the next.
 */
export class FencedWriter {
  private nextSequence = 1;
  private closed = false;

  constructor(private readonly parts: FencedWriterParts) {}

  get isClosed(): boolean {
    return this.closed;
  }

  close(): void {
    this.closed = true;
  }

  /** Fences all writers of earlier terms; returns false if the store did not confirm it. */
  async fenceEarlierTerms(): Promise<boolean> {
    const {outcome} = await this.send([], 0);
    if (outcome === AppendOutcome.Fenced) this.endFenced();
    return (
      outcome === AppendOutcome.Appended ||
      outcome === AppendOutcome.OutOfSequence
    );
  }

  /** Appends records; resolves to undefined if this writer was closed or fenced. */
  async append(
    records: readonly KeyedRecord[],
  ): Promise<AppendOutcome.Appended | AppendOutcome.Rejected | undefined> {
    while (!this.closed) {
      const result = await this.send(records, this.nextSequence);
      switch (result.outcome) {
        case AppendOutcome.Appended:
          this.nextSequence++;
          return result.outcome;
        case AppendOutcome.Rejected:
          return result.outcome;
        case AppendOutcome.Fenced:
          this.endFenced();
          return undefined;
        case AppendOutcome.OutOfSequence:
          this.nextSequence = result.expected;
          break;
        default:
          await sleep(this.parts.clock, this.parts.retryMilliseconds);
      }
    }
    return undefined;
  }

  private send(records: readonly KeyedRecord[], sequence: number) {
    const {log, stream, name, term} = this.parts;
    return log.append(stream, records, {writer: {name, term, sequence}});
  }

  /** A writer that was closed before has no say any more: its daemon may hold a later term. */
  private endFenced(): void {
    if (this.closed) return;
    this.closed = true;
    this.parts.onFenced();
  }
}
