import type {
  Peer,
  PeerHandler,
  PeerLinks,
  PeerTopic,
} from '@gentiandoor/shared-state';

/** In-memory peer links; data centres can be partitioned from each other. */
export class MemoryPeerNetwork {
  private readonly members = new Map<string, MemoryPeerLinks>();
  private readonly partitions = new Set<string>();

  /** Adds a daemon and returns its links. */
  join(peer: Peer): MemoryPeerLinks {
    const links = new MemoryPeerLinks(peer, this);
    this.members.set(peer.incarnation, links);
    return links;
  }

  /** Removes a daemon without notifying its peers, as a crash does. */
  leave(incarnation: string): void {
    this.members.delete(incarnation);
  }

  /** Partitions two data centres from each other. */
  partition(left: string, right: string): void {
    this.partitions.add(partitionKey(left, right));
  }

  heal(left: string, right: string): void {
    this.partitions.delete(partitionKey(left, right));
  }

  reachableFrom(from: Peer): MemoryPeerLinks[] {
    return [...this.members.values()].filter(
      ({self}) =>
        self.incarnation !== from.incarnation &&
        !this.partitions.has(partitionKey(self.dataCentre, from.dataCentre)),
    );
  }
}

/** One daemon's links in a `MemoryPeerNetwork`. */
export class MemoryPeerLinks implements PeerLinks {
  private readonly handlers = new Map<PeerTopic, PeerHandler>();

  constructor(
    readonly self: Peer,
    private readonly network: MemoryPeerNetwork,
  ) {}

  connected(): readonly Peer[] {
    return this.network.reachableFrom(this.self).map(links => links.self);
  }

  broadcast(topic: PeerTopic, message: unknown): void {
    for (const links of this.network.reachableFrom(this.self)) {
      void links.receive(this.self, topic, message).catch(() => undefined);
    }
  }

  async request(
    incarnation: string,
    topic: PeerTopic,
    message: unknown,
  ): Promise<unknown> {
    const links = this.network
      .reachableFrom(this.self)
      .find(candidate => candidate.self.incarnation === incarnation);
    if (!links) throw new Error(`no link to ${incarnation}`);
    return links.receive(this.self, topic, message);
  }

  setHandler(topic: PeerTopic, handler: PeerHandler): void {
    this.handlers.set(topic, handler);
  }

  async receive(
    from: Peer,
    topic: PeerTopic,
    message: unknown,
  ): Promise<unknown> {
    const handler = this.handlers.get(topic);
    if (!handler) throw new Error(`no handler for ${topic}`);
    return handler(from, structuredClone(message));
  }
}

function partitionKey(left: string, right: string): string {
  return [left, right].sort().join('|');
}
