/** Identity of a daemon and the address at which its peers can connect to it. */
export interface PeerEntry {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** IP address and port. */
  readonly address: string;
}

/** Lists the daemons to link to; written by the shared state and read by the peer links. */
export class PeerDirectory {
  /** Address at which this daemon's peer links listen; undefined until they do. */
  ownAddress: string | undefined;
  private listed: readonly PeerEntry[] = [];
  private readonly listeners: Array<() => void> = [];

  entries(): readonly PeerEntry[] {
    return this.listed;
  }

  /** Replaces the list of known daemons. */
  replace(entries: readonly PeerEntry[]): void {
    this.listed = entries;
    for (const listener of this.listeners) listener();
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }
}
