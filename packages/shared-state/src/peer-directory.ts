/** Where a daemon can be reached by its peers. */
export interface PeerEntry {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** IP number and port. */
  readonly address: string;
}

/** Who may be linked to: told by the shared state, read by the peer links. */
export class PeerDirectory {
  /** Where this daemon's own peer links listen; undefined until they do. */
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
