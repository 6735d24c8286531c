import {Client, type Dispatcher} from 'undici';
import type {ResponseSink, OutgoingRequest} from '@gentiandoor/kernel';
import {TargetExchange} from './target-exchange.js';
import type {TargetHttpOptions} from './target-http-options.js';

/** Subtracted from the target's `Keep-Alive: timeout` to allow for time in transit. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1000;

/** One connection to a target; it carries one exchange at a time, without pipelining. */
export class TargetConnection {
  private readonly client: Client;
  /** Monotonic milliseconds at which the last exchange ended. */
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
      // The library closes a connection that has been idle for this long, or for the target's
      // `Keep-Alive: timeout`, whichever is less. Closing before the target does prevents a
      // request from being written to a connection that is about to close.
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

  /** False once the connection has closed; it must not be used again. */
  get isUsable(): boolean {
    return !this.isClosed && !this.client.destroyed;
  }

  /** Sends one request; the response goes to the sink. */
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
