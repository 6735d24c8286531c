import http from 'node:http';
import net from 'node:net';
import Koa from 'koa';
import {
  ErrorKind,
  LogEvent,
  MetricName,
  RequestError,
  resolveDependencies,
  sleep,
  splitAddress,
  type Clock,
  type DrainState,
  type Logger,
  type Metrics,
  type Plugin,
} from '@gentiandoor/kernel';
import {
  CallerConnections,
  type InFlightRequestCounts,
} from './caller-connections.js';
import type {CallerHttpOptions} from './caller-http-options.js';
import {sendErrorResponse} from './error-response.js';
import {InFlightRequest, type RequestHandler} from './request-handler.js';

const DRAIN_POLL_MILLISECONDS = 20;
const TIMEOUT_CHECK_MILLISECONDS = 1000;

/** Services that `CallerHttpServer` depends on. */
export interface CallerHttpServerDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly drainState: DrainState;
  readonly callerHttpOptions: CallerHttpOptions;
  readonly requestHandler: RequestHandler;
}

/** Accepts callers' connections and passes their requests to the request handler. */
export class CallerHttpServer implements Plugin {
  private readonly server: http.Server;
  private readonly connections: CallerConnections;
  private readonly sockets = new Set<net.Socket>();

  private readonly dependencies: CallerHttpServerDependencies;

  constructor(dependencies: CallerHttpServerDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'clock',
      'logger',
      'metrics',
      'drainState',
      'callerHttpOptions',
      'requestHandler',
    );
    const {callerHttpOptions: options, clock} = dependencies;
    this.connections = new CallerConnections(clock);
    this.server = http.createServer({
      maxHeaderSize: options.head_bytes,
      headersTimeout: options.head_milliseconds,
      requestTimeout: options.request_milliseconds,
      connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
      keepAliveTimeout: options.keep_alive_milliseconds,
      // Checked with the rest of the head, so that the caller gets one of this system's errors.
      requireHostHeader: false,
      insecureHTTPParser: false,
    });
    // The default silently drops headers after the 2000th; `head_bytes` is the limit.
    this.server.maxHeadersCount = 0;
    this.listenForRequests();
    this.listenForConnections();
  }

  /** The port that the server listens on; differs from the settings where those say 0. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  get boundAddress(): string {
    const {host} = splitAddress(this.dependencies.callerHttpOptions.listen);
    return `${host}:${this.port}`;
  }

  /** Counts of the requests that a forced stop at this moment would abort. */
  get inFlightCounts(): InFlightRequestCounts {
    return this.connections.inFlightCounts;
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

  /**
   * Keeps listening until the load balancer has seen the health response, then waits for the
   * connections to close: busy ones with their next response, which says `Connection: close`; idle
   * ones when the keep-alive time that their callers were told has passed. Closing an idle
   * connection earlier would cut a request that is already in transit on it.
   */
  async drain(): Promise<void> {
    const {clock, callerHttpOptions: options} = this.dependencies;
    const end =
      clock.monotonicMilliseconds() +
      options.drain_grace_milliseconds +
      options.drain_milliseconds;
    await sleep(clock, options.drain_grace_milliseconds);
    this.stopListening();
    while (this.sockets.size > 0 && clock.monotonicMilliseconds() < end) {
      await sleep(clock, DRAIN_POLL_MILLISECONDS);
    }
  }

  async stop(): Promise<void> {
    this.stopListening();
    const {requests, nonIdempotent} = this.inFlightCounts;
    if (requests > 0) {
      this.dependencies.logger.warn(LogEvent.DaemonStopForced, {
        requests,
        nonIdempotent,
      });
    }
    this.connections.abortAllResponses();
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** `http.Server.close` would also close idle connections at once, which `drain` must not do. */
  private stopListening(): void {
    if (this.server.listening) net.Server.prototype.close.call(this.server);
  }

  private listenForRequests(): void {
    const koa = new Koa();
    koa.use(async context => {
      context.respond = false;
      await this.handle(
        this.createInFlightRequest(context.req, context.res, false),
      );
    });
    this.server.on('request', koa.callback());
    this.server.on('checkContinue', (request, response) => {
      void this.handle(this.createInFlightRequest(request, response, true));
    });
    this.server.on('checkExpectation', (_request, response) => {
      this.refuse(ErrorKind.ExpectationRefused, error =>
        sendErrorResponse(response, error, true),
      );
    });
  }

  private listenForConnections(): void {
    const {callerHttpOptions: options, metrics} = this.dependencies;
    // Each connection holds buffers and a file descriptor. Without a limit, one caller that keeps
    // opening connections uses up those of the connections to targets, and all requests fail.
    this.server.maxConnections = options.connections;
    this.server.on('drop', () =>
      metrics.increment(MetricName.ConnectionsRefused, {port: 'caller'}),
    );
    this.server.on('connection', (socket: net.Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => {
        this.sockets.delete(socket);
        this.connections.onConnectionClosed(socket);
      });
    });
    this.server.on('clientError', (error, socket) => {
      const refusal = this.connections.failConnection(
        error,
        socket as net.Socket,
      );
      if (refusal) this.countRefusal(refusal.kind);
    });
    this.server.on('connect', (_request, socket) => {
      this.refuse(ErrorKind.UpgradeRefused, error =>
        this.connections.respondAndClose(socket as net.Socket, error),
      );
    });
  }

  private refuse(kind: ErrorKind, answer: (error: RequestError) => void): void {
    this.countRefusal(kind);
    answer(new RequestError(kind, 'not supported'));
  }

  private countRefusal(reason: ErrorKind): void {
    this.dependencies.metrics.increment(MetricName.Refusals, {reason});
  }

  private createInFlightRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue: boolean,
  ): InFlightRequest {
    const {drainState} = this.dependencies;
    return new InFlightRequest(
      request,
      response,
      expectsContinue,
      item => drainState.isDraining && this.connections.isLast(item),
    );
  }

  private async handle(item: InFlightRequest): Promise<void> {
    this.connections.add(item);
    try {
      if (this.connections.followsClosingResponse(item)) return;
      await this.dependencies.requestHandler.handle(item);
    } finally {
      this.connections.remove(item);
    }
  }
}
