import {TargetConnection} from './target-connection.js';
import type {TargetHttpOptions} from './target-http-options.js';

/**
 * This daemon's connections to one target.
 *
 * Load: a steady mix of idempotent and non-idempotent requests with pauses. Without these
 * rules a request is written to a connection that the target is closing or whose state the network
 * has dropped; the outcome of a non-idempotent one is then unknown.
 */
export class TargetConnections {
  private readonly idleConnections: TargetConnection[] = [];
  private readonly openConnections = new Set<TargetConnection>();

  constructor(
    private readonly address: string,
    private readonly options: TargetHttpOptions,
  ) {}

  /** Connections open or opening. */
  get size(): number {
    return this.openConnections.size;
  }

  /**
   * Returns the most recently used connection that is suitable, a new one, or undefined at the
   * limit. `now` is in monotonic milliseconds.
   */
  acquire(
    idempotent: boolean,
    limit: number,
    now: number,
  ): TargetConnection | undefined {
    return this.acquireIdle(idempotent, now) ?? this.openConnection(limit);
  }

  /** Keeps a connection whose exchange completed for the next exchange. */
  release(connection: TargetConnection, now: number): void {
    if (!connection.isUsable) {
      this.discard(connection);
      return;
    }
    connection.idleSince = now;
    this.idleConnections.push(connection);
  }

  discard(connection: TargetConnection): void {
    this.remove(connection);
    connection.destroy();
  }

  /**
   * Closes all idle connections; returns how many.
   *
   * After one connection has timed out, the network may have dropped the state of the others as
   * well. Each of them would make one more caller wait for its whole deadline. A new connection is
   * known to work once it is open, so closing the idle ones is enough; those in use are proven by
   * their own responses.
   */
  closeIdle(): number {
    const closed = this.idleConnections.splice(0);
    for (const connection of closed) this.discard(connection);
    return closed.length;
  }

  closeAll(): void {
    for (const connection of this.openConnections) connection.destroy();
    this.openConnections.clear();
    this.idleConnections.length = 0;
  }

  /**
   * Returns the last idle connection if it is recent enough. A non-idempotent request takes only
   * one that has just carried a response, which proves that both ends still know it. Otherwise it
   * pays one round trip for a new connection: as much as a probe, and nothing extra for the target.
   */
  private acquireIdle(
    idempotent: boolean,
    now: number,
  ): TargetConnection | undefined {
    const {
      idle_milliseconds: idleMilliseconds,
      proven_milliseconds: provenMilliseconds,
    } = this.options;
    const maximumIdleMilliseconds = idempotent
      ? idleMilliseconds
      : Math.min(idleMilliseconds, provenMilliseconds);
    for (;;) {
      const connection = this.idleConnections.at(-1);
      if (!connection) return undefined;
      // The last one is the most recently used: when it is too old, all are.
      if (
        connection.isUsable &&
        now - connection.idleSince >= maximumIdleMilliseconds
      ) {
        return undefined;
      }
      this.idleConnections.pop();
      if (connection.isUsable) return connection;
      this.discard(connection);
    }
  }

  private openConnection(limit: number): TargetConnection | undefined {
    if (this.openConnections.size >= limit) this.closeOldestIdle();
    if (this.openConnections.size >= limit) return undefined;
    const connection = new TargetConnection(
      this.address,
      this.options,
      closed => this.remove(closed),
    );
    this.openConnections.add(connection);
    return connection;
  }

  private closeOldestIdle(): void {
    const oldest = this.idleConnections.shift();
    if (oldest) this.discard(oldest);
  }

  private remove(connection: TargetConnection): void {
    this.openConnections.delete(connection);
    const index = this.idleConnections.indexOf(connection);
    if (index >= 0) this.idleConnections.splice(index, 1);
  }
}
