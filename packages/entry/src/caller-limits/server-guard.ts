import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  LogEvent,
  MetricName,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import {ConnectionRanking, ConnectionStage} from './connection-ranking.js';
import type {ServerLimits} from './server-limits.js';

/** Handles a request; a promise that it returns resolves when the work for it is done. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Why a connection was closed. */
enum CloseReason {
  TooManyConnections = 'too_many_connections',
  RequestsAhead = 'requests_ahead',
  AnswerNotTaken = 'answer_not_taken',
}

/** Components that a guard depends on. */
export interface ServerGuardDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Longer than any request is worked on, so that an answer can wait for the one before it. */
const ANSWER_TIMEOUT_MILLISECONDS = 60_000;
const RETRY_AFTER_SECONDS = 1;

class GuardedConnection {
  /** Requests whose answers are not sent. */
  requests = 0;
  receiving = 0;
  /** Answers that are complete and not sent. */
  unsent = 0;
  /** Since when the client has taken no answer. */
  unsentSince = 0;
  wasUsed = false;

  constructor(readonly socket: Socket) {}

  get stage(): ConnectionStage {
    if (this.receiving > 0) return ConnectionStage.Receiving;
    if (this.requests > this.unsent) return ConnectionStage.Busy;
    if (this.unsent > 0) return ConnectionStage.Unread;
    return this.wasUsed ? ConnectionStage.Idle : ConnectionStage.Fresh;
  }
}

/**
 * Bounds what the clients of a server can make it hold: connections, requests under way and
 * answers that nobody takes.
 */
export class ServerGuard {
  private readonly connections = new Map<Socket, GuardedConnection>();
  private readonly ranking = new ConnectionRanking<GuardedConnection>();
  private requests = 0;

  constructor(
    private readonly server: string,
    private readonly limits: ServerLimits,
    private readonly dependencies: ServerGuardDependencies,
  ) {}

  /** Watches all connections of a server. */
  attach(server: Server): void {
    server.on('connection', (socket: Socket) => this.noteConnected(socket));
  }

  /** Returns a listener that passes on the requests within the limits. */
  guard(handle: RequestHandler): RequestHandler {
    return (request, response) => {
      const connection = this.connections.get(request.socket);
      // A closed connection may still deliver requests that had arrived before.
      if (!connection || request.socket.destroyed) return;
      if (connection.requests >= this.limits.requestsPerConnection)
        return this.close(connection, CloseReason.RequestsAhead);
      this.noteRequest(connection, request, response);
      if (this.requests >= this.limits.requests)
        return this.turnAway(request, response);
      return this.run(() => handle(request, response));
    };
  }

  /** Closes the connections whose clients have taken no answer for long. */
  closeUnread(): void {
    const now = this.dependencies.clock.monotonicMilliseconds();
    for (const connection of [...this.ranking.inStage(ConnectionStage.Unread)])
      if (now - connection.unsentSince > ANSWER_TIMEOUT_MILLISECONDS)
        this.close(connection, CloseReason.AnswerNotTaken);
  }

  private noteConnected(socket: Socket): void {
    const connection = new GuardedConnection(socket);
    const isFull = this.ranking.size >= this.limits.connections;
    const givenUp = isFull ? this.ranking.leastUseful() : undefined;
    this.connections.set(socket, connection);
    this.rank(connection);
    socket.once('close', () => this.remove(connection));
    if (isFull)
      this.close(givenUp ?? connection, CloseReason.TooManyConnections);
  }

  private noteRequest(
    connection: GuardedConnection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.requests++;
    connection.wasUsed = true;
    let isReceiving = hasBody(request);
    if (isReceiving) connection.receiving++;
    const noteReceived = () => {
      if (isReceiving) connection.receiving--;
      isReceiving = false;
      this.rank(connection);
    };
    request.once('end', noteReceived);
    response.once('prefinish', () => {
      const {clock} = this.dependencies;
      if (connection.unsent++ === 0)
        connection.unsentSince = clock.monotonicMilliseconds();
      this.rank(connection);
    });
    response.once('finish', () => {
      connection.requests--;
      connection.unsent--;
      connection.unsentSince = this.dependencies.clock.monotonicMilliseconds();
      noteReceived();
    });
    this.rank(connection);
  }

  private async run(handle: () => void | Promise<void>): Promise<void> {
    this.requests++;
    try {
      await handle();
    } finally {
      this.requests--;
    }
  }

  /**
   * Answers a request that is not worked on. An earlier attempt to submit the same job may have been
   * accepted, so a submission is not told that its job never runs.
   */
  private turnAway(request: IncomingMessage, response: ServerResponse): void {
    const {logger, metrics} = this.dependencies;
    const tags = {server: this.server, reason: 'requests_under_way'};
    metrics.increment(MetricName.RequestsTurnedAway, tags);
    logger.warn(LogEvent.RequestTurnedAway, tags);
    response
      .writeHead(request.method === 'POST' ? 504 : 503, {
        'Retry-After': String(RETRY_AFTER_SECONDS),
        Connection: 'close',
      })
      .end();
  }

  private close(connection: GuardedConnection, reason: CloseReason): void {
    const {logger, metrics} = this.dependencies;
    const tags = {server: this.server, reason};
    metrics.increment(MetricName.ConnectionsClosed, tags);
    logger.warn(LogEvent.ConnectionClosed, tags);
    this.remove(connection);
    connection.socket.destroy();
  }

  private rank(connection: GuardedConnection): void {
    if (!this.connections.has(connection.socket)) return;
    this.ranking.note(connection, connection.stage);
  }

  private remove(connection: GuardedConnection): void {
    this.connections.delete(connection.socket);
    this.ranking.remove(connection);
  }
}

function hasBody({headers}: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}
