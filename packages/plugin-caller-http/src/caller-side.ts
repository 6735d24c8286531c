import type {ServerResponse} from 'node:http';
import {
  RunOutcome,
  type Clock,
  type Exchange,
  type Timer,
} from '@gentiandoor/kernel';
import {RUN_HEADER, cutAnswer} from './error-answer.js';
import {endToEndTrailers} from './headers.js';

/** What the caller's side of a request needs. */
export interface CallerSideDependencies {
  readonly clock: Clock;
  /** Asked once, as the head goes out: whether the connection closes behind the answer. */
  readonly closes: () => boolean;
  /** Longest time a caller may leave an answer unread. */
  readonly progressMilliseconds: number;
}

/**
 * The caller's side of one request: writes the answer at the caller's pace, and knows
 * whether the caller is still there.
 */
export class CallerSide {
  private exchange: Exchange | undefined;
  private keepsExchange = false;
  private unreadTimer: Timer | undefined;
  private closed = false;
  private goneController: AbortController | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly dependencies: CallerSideDependencies,
  ) {}

  /** True once the caller has closed the connection before its answer was out. */
  get isGone(): boolean {
    return this.closed && !this.response.writableFinished;
  }

  /** True once part of an answer is out: nothing else can be answered any more. */
  get hasHead(): boolean {
    return this.response.headersSent;
  }

  /** Aborts when the caller goes before its answer is out. */
  get goneSignal(): AbortSignal {
    this.goneController ??= new AbortController();
    if (this.isGone) this.goneController.abort();
    return this.goneController.signal;
  }

  /**
   * Joins an exchange to the caller's pace. When the caller goes, the exchange is given up,
   * unless `keep` says that the target's work must be seen to its end.
   */
  attach(exchange: Exchange, keep: boolean): void {
    this.exchange = exchange;
    this.keepsExchange = keep;
  }

  head(status: number, headers: readonly string[]): void {
    if (this.isGone) return;
    const all = [...headers, RUN_HEADER, RunOutcome.Run];
    if (this.dependencies.closes()) all.push('connection', 'close');
    this.response.writeHead(status, all);
  }

  /** False asks to wait until the caller has read on. */
  data(chunk: Buffer): boolean {
    if (this.isGone) return true;
    const readOn = this.response.write(chunk);
    if (!readOn) this.waitForReader();
    return readOn;
  }

  end(trailers: readonly string[]): void {
    if (this.isGone) return;
    const kept = trailers.length > 0 ? endToEndTrailers(trailers) : [];
    if (kept.length > 0) this.response.addTrailers(kept);
    this.response.end();
  }

  /** A caller that reads nothing would hold a target's slot for as long as it likes. */
  private waitForReader(): void {
    if (this.unreadTimer) return;
    const {clock, progressMilliseconds} = this.dependencies;
    this.unreadTimer = clock.schedule(progressMilliseconds, () =>
      cutAnswer(this.response),
    );
    this.response.once('drain', () => {
      this.stopUnreadTimer();
      this.exchange?.resume();
    });
    // An answer that ended while its last part was unread says `finish` and never `drain`.
    // Left running, the timer would hold the answer in memory for its whole length.
    this.response.once('finish', () => this.stopUnreadTimer());
  }

  private stopUnreadTimer(): void {
    this.unreadTimer?.cancel();
    this.unreadTimer = undefined;
  }

  /** The caller's connection has closed. */
  connectionClosed(): void {
    this.closed = true;
    this.stopUnreadTimer();
    if (!this.isGone) return;
    this.goneController?.abort();
    if (this.keepsExchange) this.exchange?.resume();
    else this.exchange?.abort();
  }
}
