import type {ServerResponse} from 'node:http';
import {
  RequestExecution,
  type Clock,
  type Exchange,
  type Timer,
} from '@gentiandoor/kernel';
import {RUN_HEADER, abortResponse} from './error-response.js';
import {endToEndTrailers} from './headers.js';

/** What the caller's side of a request needs. */
export interface CallerResponseWriterDependencies {
  readonly clock: Clock;
  /** Asked once, as the head goes out: whether the connection closes behind the answer. */
  readonly shouldCloseConnection: () => boolean;
  /** Longest time a caller may leave an answer unread. */
  readonly progressTimeoutMilliseconds: number;
}

/**
 * The caller's side of one request: writes the answer at the caller's pace, and knows
 * whether the caller is still there.
 */
export class CallerResponseWriter {
  private exchange: Exchange | undefined;
  private continuesWithoutCaller = false;
  private unreadTimeout: Timer | undefined;
  private isConnectionClosed = false;
  private callerGoneController: AbortController | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly dependencies: CallerResponseWriterDependencies,
  ) {}

  /** True once the caller has closed the connection before its answer was out. */
  get isCallerGone(): boolean {
    return this.isConnectionClosed && !this.response.writableFinished;
  }

  /** True once part of an answer is out: nothing else can be answered any more. */
  get hasSentHead(): boolean {
    return this.response.headersSent;
  }

  /** Aborts when the caller goes before its answer is out. */
  get callerGoneSignal(): AbortSignal {
    this.callerGoneController ??= new AbortController();
    if (this.isCallerGone) this.callerGoneController.abort();
    return this.callerGoneController.signal;
  }

  /**
   * Joins an exchange to the caller's pace. When the caller goes, the exchange is given up,
   * unless `keep` says that the target's work must be seen to its end.
   */
  attach(exchange: Exchange, keep: boolean): void {
    this.exchange = exchange;
    this.continuesWithoutCaller = keep;
  }

  writeHead(status: number, headers: readonly string[]): void {
    if (this.isCallerGone) return;
    const all = [...headers, RUN_HEADER, RequestExecution.Run];
    if (this.dependencies.shouldCloseConnection())
      all.push('connection', 'close');
    this.response.writeHead(status, all);
  }

  /** False asks to wait until the caller has read on. */
  writeData(chunk: Buffer): boolean {
    if (this.isCallerGone) return true;
    const readOn = this.response.write(chunk);
    if (!readOn) this.startUnreadTimeout();
    return readOn;
  }

  end(trailers: readonly string[]): void {
    if (this.isCallerGone) return;
    const kept = trailers.length > 0 ? endToEndTrailers(trailers) : [];
    if (kept.length > 0) this.response.addTrailers(kept);
    this.response.end();
  }

  /** A caller that reads nothing would hold a target's slot for as long as it likes. */
  private startUnreadTimeout(): void {
    if (this.unreadTimeout) return;
    const {clock, progressTimeoutMilliseconds: progressMilliseconds} =
      this.dependencies;
    this.unreadTimeout = clock.schedule(progressMilliseconds, () =>
      abortResponse(this.response),
    );
    this.response.once('drain', () => {
      this.cancelUnreadTimeout();
      this.exchange?.resume();
    });
    // An answer that ended while its last part was unread says `finish` and never `drain`.
    // Left running, the timer would hold the answer in memory for its whole length.
    this.response.once('finish', () => this.cancelUnreadTimeout());
  }

  private cancelUnreadTimeout(): void {
    this.unreadTimeout?.cancel();
    this.unreadTimeout = undefined;
  }

  /** The caller's connection has closed. */
  onConnectionClosed(): void {
    this.isConnectionClosed = true;
    this.cancelUnreadTimeout();
    if (!this.isCallerGone) return;
    this.callerGoneController?.abort();
    if (this.continuesWithoutCaller) this.exchange?.resume();
    else this.exchange?.abort();
  }
}
