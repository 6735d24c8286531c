import {
  ExchangeEnd,
  LogEvent,
  type ResponseSink,
  type Clock,
  type Exchange,
  type ExchangeResult,
  type Logger,
  type OutgoingRequest,
  type Plugin,
  type TargetAddress,
  type TargetTransport,
  resolveDependencies,
} from '@gentiandoor/kernel';
import type {TargetConnection} from './target-connection.js';
import {TargetConnections} from './target-connections.js';
import type {TargetHttpOptions} from './target-http-options.js';

/** Services that `HttpTargetTransport` depends on. */
export interface HttpTargetTransportDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly targetHttpOptions: TargetHttpOptions;
}

interface SettledExchange extends ExchangeResult {
  readonly isConnectionReusable: boolean;
}

/** Sends requests to targets over HTTP and keeps idle connections for later requests. */
export class HttpTargetTransport implements TargetTransport, Plugin {
  private readonly connectionsByAddress = new Map<string, TargetConnections>();

  private readonly dependencies: HttpTargetTransportDependencies;

  constructor(dependencies: HttpTargetTransportDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'clock',
      'logger',
      'targetHttpOptions',
    );
  }

  async start(): Promise<void> {}

  async stop(): Promise<void> {
    for (const connections of this.connectionsByAddress.values())
      connections.closeAll();
    this.connectionsByAddress.clear();
  }

  /** Returns the number of connections to a target's address, open or opening. */
  openConnections(address: string): number {
    return this.connectionsByAddress.get(address)?.size ?? 0;
  }

  startExchange(
    target: TargetAddress,
    request: OutgoingRequest,
    sink: ResponseSink,
  ): Exchange {
    const {clock, targetHttpOptions: options} = this.dependencies;
    const connections = this.connectionsTo(target.address);
    const connection = connections.acquire(
      request.idempotent,
      target.connections ?? options.connections,
      clock.monotonicMilliseconds(),
    );
    if (!connection) return new RefusedExchange(target);
    const exchange = connection.begin(request, sink);
    void exchange.done.then(result =>
      this.releaseConnection(target, connections, connection, {
        ...result,
        isConnectionReusable: exchange.isConnectionReusable,
      }),
    );
    return exchange;
  }

  private releaseConnection(
    target: TargetAddress,
    connections: TargetConnections,
    connection: TargetConnection,
    result: SettledExchange,
  ): void {
    if (result.end === ExchangeEnd.Complete && result.isConnectionReusable) {
      const now = this.dependencies.clock.monotonicMilliseconds();
      connections.release(connection, now);
    } else {
      connections.discard(connection);
      if (isTimeout(result)) this.closeIdleConnections(target, connections);
    }
    if (connections.size === 0)
      this.connectionsByAddress.delete(target.address);
  }

  protected closeIdleConnections(
    target: TargetAddress,
    connections: TargetConnections,
  ): void {
    const closed = connections.closeIdle();
    this.dependencies.logger.warn(LogEvent.TargetSilent, {
      target: target.id,
      address: target.address,
      siblingsClosed: closed,
    });
  }

  private connectionsTo(address: string): TargetConnections {
    let connections = this.connectionsByAddress.get(address);
    if (!connections) {
      connections = new TargetConnections(
        address,
        this.dependencies.targetHttpOptions,
      );
      this.connectionsByAddress.set(address, connections);
    }
    return connections;
  }
}

/** An exchange that was never started, because the target is at its connection limit. */
class RefusedExchange implements Exchange {
  readonly done: Promise<ExchangeResult>;

  constructor(target: TargetAddress) {
    this.done = Promise.resolve({
      end: ExchangeEnd.NotSent,
      error: new Error(`${target.id} has all its connections in use`),
    });
  }

  resume(): void {}

  abort(): void {}
}

const BODY_TIMEOUT_CODE = 'UND_ERR_BODY_TIMEOUT';

function isTimeout({end, error}: ExchangeResult): boolean {
  if (end === ExchangeEnd.TimedOut) return true;
  return (
    error !== undefined && 'code' in error && error.code === BODY_TIMEOUT_CODE
  );
}
