/** What a connection is doing, in the order in which connections are given up. */
export enum ConnectionStage {
  /** No request has arrived on it completely. */
  Fresh = 'fresh',
  /** The body of a request is not complete. */
  Receiving = 'receiving',
  /** Its client does not take an answer. */
  Unread = 'unread',
  /** All its requests are answered. */
  Idle = 'idle',
  /** A complete request is under way; never given up. */
  Busy = 'busy',
}

const GIVEN_UP_IN_ORDER = [
  ConnectionStage.Fresh,
  ConnectionStage.Receiving,
  ConnectionStage.Unread,
  ConnectionStage.Idle,
];

/**
 * Chooses the connection to close when a server has too many: one whose client owes something
 * before one that is of use, and the one that has been so for longest.
 */
export class ConnectionRanking<Connection> {
  private readonly stages = new Map<Connection, ConnectionStage>();
  private readonly members = new Map<ConnectionStage, Set<Connection>>(
    Object.values(ConnectionStage).map(stage => [stage, new Set()]),
  );

  get size(): number {
    return this.stages.size;
  }

  note(connection: Connection, stage: ConnectionStage): void {
    if (this.stages.get(connection) === stage) return;
    this.remove(connection);
    this.stages.set(connection, stage);
    this.members.get(stage)?.add(connection);
  }

  remove(connection: Connection): void {
    const stage = this.stages.get(connection);
    if (stage === undefined) return;
    this.members.get(stage)?.delete(connection);
    this.stages.delete(connection);
  }

  /** Returns the connection to give up; undefined if all are busy. */
  leastUseful(): Connection | undefined {
    for (const stage of GIVEN_UP_IN_ORDER)
      for (const connection of this.members.get(stage) ?? []) return connection;
    return undefined;
  }

  /** Returns the connections in a stage, the one that has been there for longest first. */
  inStage(stage: ConnectionStage): Iterable<Connection> {
    return this.members.get(stage) ?? [];
  }
}
