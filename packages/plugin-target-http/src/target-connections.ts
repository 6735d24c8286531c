import {TargetConnection} from './target-connection.js';
import type {TargetHttpOptions} from './target-http-options.js';

/**
 * This daemon's connections to one target.
 *
 * Load pattern: a steady mix of idempotent and non-idempotent requests with pauses.
 * Without these rules a request is written to a connection that the target is closing or
 * that the network has forgotten; a non-idempotent one then ends with an unknown outcome.
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
   * The most recently used connection that is fit, a new one, or undefined at the limit.
   * `now` in monotonic milliseconds.
   */
  acquire(
    idempotent: boolean,
    limit: number,
    now: number,
  ): TargetConnection | undefined {
    return this.acquireIdle(idempotent, now) ?? this.openConnection(limit);
  }

  /** Keeps a connection whose exchange ended whole for the next one. */
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
   * Closes all connections that wait unused; returns how many.
   *
   * After one connection went silent, something between the two ends may have forgotten
   * its siblings as well. Each would make one more caller wait for its whole deadline. A
   * new connection is known to work once it is open, so closing the unused ones is enough;
   * those in use prove themselves by their own answer.
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
   * A non-idempotent request takes only a connection that carried an answer a moment ago:
   * that is proof that both ends still know it. Otherwise it pays for a new connection, one
   * round trip, as much as a probe would cost and without asking anything of the target.
   */
  private acquireIdle(
    idempotent: boolean,
    now: number,
  ): TargetConnection | undefined {
    const {idle_milliseconds: idle, proven_milliseconds: proven} = this.options;
    const longest = idempotent ? idle : Math.min(idle, proven);
    for (;;) {
      const connection = this.idleConnections.at(-1);
      if (!connection) return undefined;
      // The last one was used last: when it is too old, all are.
      if (connection.isUsable && now - connection.idleSince >= longest) {
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
