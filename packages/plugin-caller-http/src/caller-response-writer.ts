import type {ServerResponse} from 'node:http';
import {
  RequestExecution,
  type Clock,
  type Exchange,
  type Timer,
} from '@gentiandoor/kernel';
import {RUN_HEADER, abortResponse} from './error-response.js';
import {endToEndTrailers} from './headers.js';

/** Clock, timeout and connection policy of a `CallerResponseWriter`. */
export interface CallerResponseWriterDependencies {
  readonly clock: Clock;
  /** Called once, when the head is sent: whether the connection closes after the response. */
  readonly shouldCloseConnection: () => boolean;
  /** Maximum time a caller may leave a response unread. */
  readonly progressTimeoutMilliseconds: number;
}

/**
 * Writes the response of one request at the caller's pace, and tracks whether the caller is still
 * connected.
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

  /** True once the caller has closed the connection before its whole response was sent. */
  get isCallerGone(): boolean {
    return this.isConnectionClosed && !this.response.writableFinished;
  }

  /** True once part of a response is sent: no other response is possible then. */
  get hasSentHead(): boolean {
    return this.response.headersSent;
  }

  /** Aborts when the caller disconnects before its whole response is sent. */
  get callerGoneSignal(): AbortSignal {
    this.callerGoneController ??= new AbortController();
    if (this.isCallerGone) this.callerGoneController.abort();
    return this.callerGoneController.signal;
  }

  /**
   * Couples an exchange to the caller's pace. When the caller disconnects, the exchange is aborted,
   * unless `continuesWithoutCaller` says that it must run to its end.
   */
  attach(exchange: Exchange, continuesWithoutCaller: boolean): void {
    this.exchange = exchange;
    this.continuesWithoutCaller = continuesWithoutCaller;
  }

  writeHead(status: number, headers: readonly string[]): void {
    if (this.isCallerGone) return;
    const allHeaders = [...headers, RUN_HEADER, RequestExecution.Run];
    if (this.dependencies.shouldCloseConnection())
      allHeaders.push('connection', 'close');
    this.response.writeHead(status, allHeaders);
  }

  /** Returns false when the sender must wait until the caller has read more. */
  writeData(chunk: Buffer): boolean {
    if (this.isCallerGone) return true;
    const canContinue = this.response.write(chunk);
    if (!canContinue) this.startUnreadTimeout();
    return canContinue;
  }

  end(trailers: readonly string[]): void {
    if (this.isCallerGone) return;
    const kept = trailers.length > 0 ? endToEndTrailers(trailers) : [];
    if (kept.length > 0) this.response.addTrailers(kept);
    this.response.end();
  }

  /** Aborts the response if the caller stops reading: it would hold a target's slot indefinitely. */
  private startUnreadTimeout(): void {
    if (this.unreadTimeout) return;
    const {clock, progressTimeoutMilliseconds} = this.dependencies;
    this.unreadTimeout = clock.schedule(progressTimeoutMilliseconds, () =>
      abortResponse(this.response),
    );
    this.response.once('drain', () => {
      this.cancelUnreadTimeout();
      this.exchange?.resume();
    });
    // A response that ended while its last part was unread emits `finish` and never `drain`.
    // If not cancelled, the timer would hold the response in memory until it fires.
    this.response.once('finish', () => this.cancelUnreadTimeout());
  }

  private cancelUnreadTimeout(): void {
    this.unreadTimeout?.cancel();
    this.unreadTimeout = undefined;
  }

  /** Aborts the exchange, or lets it continue unread, when the caller's connection has closed. */
  onConnectionClosed(): void {
    this.isConnectionClosed = true;
    this.cancelUnreadTimeout();
    if (!this.isCallerGone) return;
    this.callerGoneController?.abort();
    if (this.continuesWithoutCaller) this.exchange?.resume();
    else this.exchange?.abort();
  }
}
