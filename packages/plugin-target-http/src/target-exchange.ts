import type {Dispatcher} from 'undici';
import {
  ExchangeEnd,
  toError,
  type ResponseSink,
  type Exchange,
  type ExchangeResult,
  type OutgoingBody,
  type OutgoingRequest,
} from '@gentiandoor/kernel';
import {
  announcesClose,
  isMalformed,
  framingProblem,
} from './response-framing.js';

/** Lower status codes are interim responses: the final one follows. */
const FIRST_FINAL_STATUS = 200;

/** The part of a connection that an exchange uses. */
export interface ExchangeConnection {
  /** Closes the connection; a pending exchange on it ends with an error. */
  destroy(): void;
}

/**
 * Tracks one exchange through the events of its connection.
 * This is the only place that decides whether a request was sent: it was not, as long as the
 * library has not announced (`onRequestStart`) that it is about to write the first byte.
 */
export class TargetExchange implements Dispatcher.DispatchHandler, Exchange {
  readonly done: Promise<ExchangeResult>;
  private resolveDone!: (result: ExchangeResult) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private isSent = false;
  private hasHead = false;
  private isBodySent: boolean;
  private isConnectionClosing = false;
  private failure: ExchangeResult | undefined;
  private readonly headTimer: NodeJS.Timeout;

  constructor(
    private readonly request: OutgoingRequest,
    private readonly sink: ResponseSink,
    private readonly connection: ExchangeConnection,
  ) {
    this.done = new Promise(resolve => {
      this.resolveDone = resolve;
    });
    this.isBodySent = !isStream(request.body);
    this.headTimer = setTimeout(
      () =>
        this.abortWith(
          ExchangeEnd.TimedOut,
          'the response head did not arrive in time',
        ),
      request.responseHeadTimeoutMilliseconds,
    );
  }

  /** The body to pass to the library; the end of a streamed one is tracked. */
  get body(): OutgoingBody {
    const {body} = this.request;
    return isStream(body) ? this.trackBody(body) : body;
  }

  /** True when the connection may carry another exchange. */
  get isConnectionReusable(): boolean {
    return this.isBodySent && !this.isConnectionClosing;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isSent) {
      // A library that resends by itself would run the request twice, unnoticed by all counters
      // here. This event precedes the first byte, so aborting here is enough.
      this.abortWith(
        ExchangeEnd.ConnectionLost,
        'refused to send the request twice',
      );
      return;
    }
    if (this.failure !== undefined) {
      controller.abort(this.failure.error ?? new Error(this.failure.end));
      return;
    }
    this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    const headers = toStrings(controller.rawHeaders);
    const problem = framingProblem(this.request.method, status, headers);
    if (problem !== undefined) {
      this.abortWith(ExchangeEnd.Malformed, problem);
      return;
    }
    this.hasHead = true;
    // The library closes a connection after HEAD, in case a body follows nevertheless.
    this.isConnectionClosing =
      this.request.method === 'HEAD' || announcesClose(headers);
    clearTimeout(this.headTimer);
    this.abortOnError(() => this.sink.onHead(status, headers));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.abortOnError(() => {
      if (!this.sink.onData(chunk)) controller.pause();
    });
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    clearTimeout(this.headTimer);
    this.sink.onEnd(toStrings(controller.rawTrailers));
    this.resolveDone({end: ExchangeEnd.Complete});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    clearTimeout(this.headTimer);
    this.resolveDone(this.toExchangeResult(error));
  }

  resume(): void {
    this.controller?.resume();
  }

  abort(): void {
    this.abortWith(ExchangeEnd.Aborted, 'aborted by the caller\u2019s side');
  }

  private async *trackBody(
    body: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array> {
    for await (const chunk of body) yield chunk;
    this.isBodySent = true;
  }

  private abortWith(end: ExchangeEnd, detail: string): void {
    const error = new Error(detail);
    this.failure ??= {end, error};
    if (this.controller) this.controller.abort(error);
    // Still connecting: there is nothing to abort, and the caller must not wait for the connect
    // timeout.
    else this.connection.destroy();
  }

  /** A sink that throws (a header that cannot be forwarded) ends the exchange, not the daemon. */
  private abortOnError(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.abortWith(ExchangeEnd.Malformed, toError(error).message);
    }
  }

  private toExchangeResult(error: Error): ExchangeResult {
    if (!this.isSent) return {end: ExchangeEnd.NotSent, error};
    if (this.failure) return this.failure;
    if (this.hasHead) return {end: ExchangeEnd.Truncated, error};
    const end = isMalformed(error)
      ? ExchangeEnd.Malformed
      : ExchangeEnd.ConnectionLost;
    return {end, error};
  }
}

function isStream(body: OutgoingBody): body is AsyncIterable<Uint8Array> {
  return body !== null && !(body instanceof Uint8Array);
}

function toStrings(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    Buffer.isBuffer(item) ? item.toString('latin1') : String(item),
  );
}
