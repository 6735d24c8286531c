import http from 'node:http';
import Koa from 'koa';
import {
  sleep,
  splitAddress,
  type Clock,
  type DrainState,
  type Plugin,
} from '@gentiandoor/kernel';
import type {CallerHttpOptions} from './caller-http-options.js';
import type {RequestHandler} from './request-handler.js';

const DRAIN_POLL_MILLISECONDS = 20;

/** What the server needs. */
export interface CallerHttpServerDependencies {
  readonly clock: Clock;
  readonly drainState: DrainState;
  readonly callerHttpOptions: CallerHttpOptions;
  readonly requestHandler: RequestHandler;
}

/** Takes callers' connections. */
export class CallerHttpServer implements Plugin {
  private readonly server: http.Server;
  private inFlight = 0;

  constructor(private readonly dependencies: CallerHttpServerDependencies) {
    const {callerHttpOptions: options} = dependencies;
    const koa = new Koa();
    koa.use(async context => {
      context.respond = false;
      await this.handle(context.req, context.res);
    });
    this.server = http.createServer(
      {
        maxHeaderSize: options.head_bytes,
        headersTimeout: options.head_milliseconds,
        keepAliveTimeout: options.keep_alive_milliseconds,
        requireHostHeader: true,
      },
      koa.callback(),
    );
  }

  /** The port in use; differs from the settings where those say 0. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  async start(): Promise<void> {
    const {host, port} = splitAddress(
      this.dependencies.callerHttpOptions.listen,
    );
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  async drain(): Promise<void> {
    const {clock, callerHttpOptions: options} = this.dependencies;
    const end = clock.monotonicMilliseconds() + options.drain_milliseconds;
    this.server.close();
    while (this.inFlight > 0 && clock.monotonicMilliseconds() < end) {
      await sleep(clock, DRAIN_POLL_MILLISECONDS);
    }
  }

  async stop(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.inFlight++;
    try {
      await this.dependencies.requestHandler.handle(request, response);
    } finally {
      this.inFlight--;
    }
  }
}
