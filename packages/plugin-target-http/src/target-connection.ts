import {Client, type Dispatcher} from 'undici';
import {
  ExchangeEnd,
  toError,
  type AnswerSink,
  type Exchange,
  type ExchangeResult,
  type OutgoingRequest,
} from '@gentiandoor/kernel';
import type {TargetHttpOptions} from './target-http-options.js';

/** One connection to a target; carries one exchange at a time and is never pipelined. */
export class TargetConnection {
  private readonly client: Client;
  /** Monotonic milliseconds of the last end of an exchange. */
  idleSince = 0;
  private broken = false;

  constructor(address: string, options: TargetHttpOptions) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: {timeout: options.connect_milliseconds},
      headersTimeout: 0,
      bodyTimeout: options.progress_milliseconds,
      keepAliveTimeout: Math.max(1, options.idle_milliseconds),
      keepAliveMaxTimeout: Math.max(1, options.idle_milliseconds),
    });
    this.client.on('disconnect', () => {
      this.broken = true;
    });
  }

  /** False once the connection has closed: it is not used again. */
  get isUsable(): boolean {
    return !this.broken && !this.client.destroyed;
  }

  /** Sends one request. */
  begin(request: OutgoingRequest, sink: AnswerSink): Exchange {
    const handler = new ExchangeHandler(request, sink);
    this.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as string[],
        body: request.body,
        idempotent: false,
        blocking: true,
      },
      handler,
    );
    return handler;
  }

  destroy(): void {
    this.broken = true;
    void this.client.destroy();
  }
}

/** Follows one exchange from the events of its connection. */
class ExchangeHandler implements Dispatcher.DispatchHandler, Exchange {
  readonly done: Promise<ExchangeResult>;
  private finish!: (result: ExchangeResult) => void;
  private controller: Dispatcher.DispatchController | undefined;
  /** Set when the library takes the connection to write the request's first byte. */
  private sent = false;
  private headSeen = false;
  private failure: ExchangeEnd | undefined;
  private readonly timer: NodeJS.Timeout;

  constructor(
    request: OutgoingRequest,
    private readonly sink: AnswerSink,
  ) {
    this.done = new Promise(resolve => {
      this.finish = resolve;
    });
    this.timer = setTimeout(
      () => this.giveUp(ExchangeEnd.TimedOut),
      request.headMilliseconds,
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.failure !== undefined) {
      controller.abort(new Error('given up before it was sent'));
      return;
    }
    this.sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) return;
    this.headSeen = true;
    clearTimeout(this.timer);
    this.sink.onHead(status, toStrings(controller.rawHeaders));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.sink.onData(chunk)) controller.pause();
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    clearTimeout(this.timer);
    this.sink.onEnd(toStrings(controller.rawTrailers));
    this.finish({end: ExchangeEnd.Whole});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    clearTimeout(this.timer);
    this.finish({end: this.endOfFailure(), error: toError(error)});
  }

  resume(): void {
    this.controller?.resume();
  }

  abort(): void {
    this.giveUp(ExchangeEnd.Aborted);
  }

  private giveUp(failure: ExchangeEnd): void {
    this.failure ??= failure;
    this.controller?.abort(new Error(failure));
  }

  private endOfFailure(): ExchangeEnd {
    if (!this.sent) return ExchangeEnd.NotSent;
    if (this.failure !== undefined) return this.failure;
    return this.headSeen ? ExchangeEnd.Truncated : ExchangeEnd.Broken;
  }
}

function toStrings(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    Buffer.isBuffer(item) ? item.toString('latin1') : String(item),
  );
}
