import {Client, type Dispatcher} from 'undici';
import type {ResponseSink, OutgoingRequest} from '@gentiandoor/kernel';
import {TargetExchange} from './target-exchange.js';
import type {TargetHttpOptions} from './target-http-options.js';

/** The target's `Keep-Alive: timeout` is taken shorter by this, for the time on the way. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1000;

/** One connection to a target; carries one exchange at a time and is never pipelined. */
export class TargetConnection {
  private readonly client: Client;
  /** Monotonic milliseconds of the last end of an exchange. */
  idleSince = 0;
  private isClosed = false;

  constructor(
    address: string,
    options: TargetHttpOptions,
    onClosed: (connection: TargetConnection) => void,
  ) {
    const idle = Math.max(1, options.idle_milliseconds);
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: {timeout: options.connect_milliseconds},
      maxHeaderSize: options.head_bytes,
      // The exchange has its own deadline for the head.
      headersTimeout: 0,
      bodyTimeout: options.progress_milliseconds,
      // The library closes the connection when it was idle this long, or as long as the
      // target's `Keep-Alive: timeout` says, whichever is less: closing first, before the
      // target does, keeps a request from being written to a connection about to close.
      keepAliveTimeout: idle,
      keepAliveMaxTimeout: idle,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    });
    this.client.on('disconnect', () => {
      this.isClosed = true;
      onClosed(this);
    });
    this.client.on('connectionError', () => {
      this.isClosed = true;
      onClosed(this);
    });
  }

  /** False once the connection has closed: it is not used again. */
  get isUsable(): boolean {
    return !this.isClosed && !this.client.destroyed;
  }

  /** Sends one request. */
  begin(request: OutgoingRequest, sink: ResponseSink): TargetExchange {
    const exchange = new TargetExchange(request, sink, this);
    this.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as string[],
        body: exchange.body as Dispatcher.DispatchOptions['body'],
        idempotent: false,
        blocking: true,
      },
      exchange,
    );
    return exchange;
  }

  destroy(): void {
    this.isClosed = true;
    void this.client.destroy();
  }
}
