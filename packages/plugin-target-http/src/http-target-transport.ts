import {
  ExchangeEnd,
  type AnswerSink,
  type Clock,
  type Exchange,
  type OutgoingRequest,
  type Plugin,
  type TargetAddress,
  type TargetTransport,
} from '@gentiandoor/kernel';
import {TargetConnection} from './target-connection.js';
import type {TargetHttpOptions} from './target-http-options.js';

/** What the transport needs. */
export interface HttpTargetTransportDependencies {
  readonly clock: Clock;
  readonly targetHttpOptions: TargetHttpOptions;
}

/** Carries requests to targets over HTTP, and keeps idle connections for the next one. */
export class HttpTargetTransport implements TargetTransport, Plugin {
  private readonly idle = new Map<string, TargetConnection[]>();
  private readonly all = new Set<TargetConnection>();

  constructor(private readonly dependencies: HttpTargetTransportDependencies) {}

  async start(): Promise<void> {}

  async stop(): Promise<void> {
    for (const connection of this.all) connection.destroy();
    this.all.clear();
    this.idle.clear();
  }

  begin(
    target: TargetAddress,
    request: OutgoingRequest,
    sink: AnswerSink,
  ): Exchange {
    const connection =
      this.takeIdle(target.address) ?? this.open(target.address);
    const exchange = connection.begin(request, sink);
    void exchange.done.then(result => {
      if (result.end === ExchangeEnd.Whole)
        this.giveBack(target.address, connection);
      else this.discard(connection);
    });
    return exchange;
  }

  private takeIdle(address: string): TargetConnection | undefined {
    const {clock, targetHttpOptions: options} = this.dependencies;
    const now = clock.monotonicMilliseconds();
    const list = this.idle.get(address) ?? [];
    for (let connection = list.pop(); connection; connection = list.pop()) {
      const fresh = now - connection.idleSince < options.idle_milliseconds;
      if (fresh && connection.isUsable) return connection;
      this.discard(connection);
    }
    return undefined;
  }

  private open(address: string): TargetConnection {
    const connection = new TargetConnection(
      address,
      this.dependencies.targetHttpOptions,
    );
    this.all.add(connection);
    return connection;
  }

  private giveBack(address: string, connection: TargetConnection): void {
    if (!connection.isUsable) {
      this.discard(connection);
      return;
    }
    connection.idleSince = this.dependencies.clock.monotonicMilliseconds();
    const list = this.idle.get(address) ?? [];
    list.push(connection);
    this.idle.set(address, list);
  }

  private discard(connection: TargetConnection): void {
    this.all.delete(connection);
    connection.destroy();
  }
}
